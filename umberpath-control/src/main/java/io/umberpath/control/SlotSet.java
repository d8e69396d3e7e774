package io.umberpath.control;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.nio.ByteBuffer;
import org.roaringbitmap.IntConsumer;
import org.roaringbitmap.RoaringBitmap;

/** An immutable set of roster slots; encodes as a run-compressed bitmap. */
public final class SlotSet {
  /** The empty set. */
  public static final SlotSet EMPTY = new SlotSet(new RoaringBitmap());

  private final RoaringBitmap bitmap;

  private SlotSet(RoaringBitmap bitmap) {
    this.bitmap = bitmap;
  }

  /** The set of the given slots. */
  public static SlotSet of(int... slots) {
    return new SlotSet(RoaringBitmap.bitmapOf(slots));
  }

  /** Creates a set from a copy of the bitmap. */
  public static SlotSet copyOf(RoaringBitmap bitmap) {
    return bitmap.isEmpty() ? EMPTY : new SlotSet(bitmap.clone());
  }

  /**
   * Decodes a set.
   *
   * @throws IllegalArgumentException if the bytes do not encode a bitmap
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public static SlotSet decode(byte[] bytes) {
    RoaringBitmap decoded = new RoaringBitmap();
    try {
      decoded.deserialize(ByteBuffer.wrap(bytes));
    } catch (java.io.IOException | RuntimeException e) {
      throw new IllegalArgumentException(
          "slot set of " + bytes.length + " bytes is not a bitmap", e);
    }
    return new SlotSet(decoded);
  }

  /** The run-compressed encoding. */
  @JsonValue
  public byte[] encode() {
    RoaringBitmap compressed = bitmap.clone();
    compressed.runOptimize();
    ByteBuffer buffer = ByteBuffer.allocate(compressed.serializedSizeInBytes());
    compressed.serialize(buffer);
    return buffer.array();
  }

  /** Whether the slot is in the set. */
  public boolean contains(int slot) {
    return bitmap.contains(slot);
  }

  /** Number of slots. */
  public int size() {
    return bitmap.getCardinality();
  }

  /** Calls the consumer for each slot in ascending order. */
  public void forEach(IntConsumer consumer) {
    bitmap.forEach(consumer);
  }

  /** Adds every slot of this set to a bitmap. */
  void addTo(RoaringBitmap target) {
    target.or(bitmap);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof SlotSet that && bitmap.equals(that.bitmap);
  }

  @Override
  public int hashCode() {
    return bitmap.hashCode();
  }

  @Override
  public String toString() {
    return bitmap.toString();
  }
}
