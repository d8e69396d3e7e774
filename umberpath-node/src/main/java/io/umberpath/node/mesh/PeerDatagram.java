package io.umberpath.node.mesh;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.util.List;
import java.util.function.Function;

/** A datagram between nodes: a CBOR list that begins with a number for what it holds. */
sealed interface PeerDatagram permits PeerMessage, SuspectMessage {
  /** Largest datagram, bytes: passes every link whole. */
  int MAX_BYTES = 1_400;

  CBORFactory CBOR = new CBORFactory();

  /**
   * Reads a datagram.
   *
   * @throws IOException if it is none
   */
  static PeerDatagram decode(byte[] bytes, int length) throws IOException {
    try (JsonParser in = CBOR.createParser(bytes, 0, length)) {
      require(in.nextToken() == JsonToken.START_ARRAY, "is no list");
      require(in.nextToken() == JsonToken.VALUE_NUMBER_INT, "has no kind");
      int kind = in.getIntValue();
      return kind == SuspectMessage.KIND
          ? SuspectMessage.readEntries(in)
          : PeerMessage.readEntries(kind, in);
    }
  }

  /**
   * Writes entries as datagrams short enough to pass whole: halves what is too long.
   *
   * @param write encodes some of the entries
   * @param into takes the datagrams in the order of the entries
   */
  static <T> void split(
      List<T> entries, Function<List<T>, byte[]> encoder, List<byte[]> datagrams) {
    byte[] bytes = encoder.apply(entries);
    int count = entries.size();
    if (count == 1 || bytes.length <= MAX_BYTES) {
      datagrams.add(bytes);
      return;
    }
    split(entries.subList(0, count / 2), encoder, datagrams);
    split(entries.subList(count / 2, count), encoder, datagrams);
  }

  /**
   * Checks a part of a datagram.
   *
   * @throws IOException that names the problem
   */
  static void require(boolean isWellFormed, String problem) throws IOException {
    if (!isWellFormed) {
      throw new IOException("message between nodes " + problem);
    }
  }
}
