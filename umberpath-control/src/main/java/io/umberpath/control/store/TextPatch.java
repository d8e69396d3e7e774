package io.umberpath.control.store;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * A patch from an old text to a new one: ranges copied from the old text and inserted text. A
 * change of one rule in a configuration of 1,600 rules (260 KB) takes a few hundred bytes.
 * Immutable.
 *
 * @param pieces in the order of the new text
 * @param length length of the new text, characters
 * @param checksum CRC-32 of the new text in UTF-8
 */
public record TextPatch(List<Piece> pieces, int length, long checksum) {
  /** A piece of the new text. */
  public sealed interface Piece {
    /** A range of the old text. */
    record Copy(int from, int length) implements Piece {}

    /** Text that is not copied from the old one. */
    record Insert(String text) implements Piece {}
  }

  /**
   * Start of a segment for the comparison: structured documents repeat whole objects, so segments
   * that begin with an object are found again wherever they have moved.
   */
  private static final char SEGMENT_START = '{';

  /** Makes a defensive copy of the pieces. */
  public TextPatch {
    pieces = List.copyOf(pieces);
  }

  /** Computes the patch from the old text to the new one. */
  public static TextPatch between(String oldText, String newText) {
    List<int[]> oldSegments = segments(oldText);
    Map<String, Integer> firstByText = new HashMap<>();
    for (int index = 0; index < oldSegments.size(); index++) {
      firstByText.putIfAbsent(segmentText(oldText, oldSegments.get(index)), index);
    }
    PieceList pieces = new PieceList();
    int nextIndex = 0;
    for (int[] segment : segments(newText)) {
      String piece = segmentText(newText, segment);
      boolean follows =
          nextIndex < oldSegments.size()
              && segmentText(oldText, oldSegments.get(nextIndex)).equals(piece);
      Integer found = follows ? Integer.valueOf(nextIndex) : firstByText.get(piece);
      if (found == null) {
        pieces.insert(piece);
      } else {
        pieces.copy(oldSegments.get(found)[0], piece.length());
        nextIndex = found + 1;
      }
    }
    return new TextPatch(pieces.all(), newText.length(), checksumOf(newText));
  }

  /** Applies the patch; empty if the old text is not the one the patch was made for. */
  public Optional<String> applyTo(String oldText) {
    StringBuilder text = new StringBuilder(length);
    for (Piece piece : pieces) {
      if (piece instanceof Piece.Insert insert) {
        text.append(insert.text());
      } else if (piece instanceof Piece.Copy copy) {
        int end = copy.from() + copy.length();
        if (copy.from() < 0 || copy.length() < 0 || end < 0 || end > oldText.length()) {
          return Optional.empty();
        }
        text.append(oldText, copy.from(), end);
      }
      if (text.length() > length) {
        return Optional.empty();
      }
    }
    String result = text.toString();
    boolean isMatch = result.length() == length && checksumOf(result) == checksum;
    return isMatch ? Optional.of(result) : Optional.empty();
  }

  /** Number of characters that the patch itself contains. */
  int insertedLength() {
    int inserted = 0;
    for (Piece piece : pieces) {
      inserted += piece instanceof Piece.Insert insert ? insert.text().length() : 0;
    }
    return inserted;
  }

  private static long checksumOf(String text) {
    CRC32 checksum = new CRC32();
    checksum.update(text.getBytes(StandardCharsets.UTF_8));
    return checksum.getValue();
  }

  /** Splits a text into segments, each as begin and end. */
  private static List<int[]> segments(String text) {
    List<int[]> segments = new ArrayList<>();
    int begin = 0;
    while (begin < text.length()) {
      int end = text.indexOf(SEGMENT_START, begin + 1);
      end = end < 0 ? text.length() : end;
      segments.add(new int[] {begin, end});
      begin = end;
    }
    return segments;
  }

  private static String segmentText(String text, int[] segment) {
    return text.substring(segment[0], segment[1]);
  }

  /** List of pieces that merges adjacent ones. */
  private static final class PieceList {
    private final List<Piece> done = new ArrayList<>();
    private final StringBuilder inserted = new StringBuilder();
    private int copyFrom;
    private int copied;

    void insert(String text) {
      endCopy();
      inserted.append(text);
    }

    void copy(int from, int length) {
      endInsert();
      if (copied > 0 && copyFrom + copied == from) {
        copied += length;
        return;
      }
      endCopy();
      copyFrom = from;
      copied = length;
    }

    private void endInsert() {
      if (inserted.length() > 0) {
        done.add(new Piece.Insert(inserted.toString()));
        inserted.setLength(0);
      }
    }

    private void endCopy() {
      if (copied > 0) {
        done.add(new Piece.Copy(copyFrom, copied));
        copied = 0;
      }
    }

    List<Piece> all() {
      endInsert();
      endCopy();
      return done;
    }
  }
}
