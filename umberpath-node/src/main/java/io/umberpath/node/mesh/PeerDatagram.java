package io.umberpath.node.mesh;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.util.List;
import java.util.function.Function;

/** A datagram between nodes: a CBOR list that begins with the number of its kind. */
sealed interface PeerDatagram permits PeerMessage, SuspectMessage {
  /** Largest datagram, bytes: passes every link unfragmented. */
  int MAX_BYTES = 1_400;

  CBORFactory CBOR = new CBORFactory();

  /**
   * Decodes a datagram.
   *
   * @throws IOException if it is malformed
   */
  static PeerDatagram decode(byte[] bytes, int length) throws IOException {
    try (JsonParser in = CBOR.createParser(bytes, 0, length)) {
      require(in.nextToken() == JsonToken.START_ARRAY, "is not a list");
      require(in.nextToken() == JsonToken.VALUE_NUMBER_INT, "has no kind");
      int kind = in.getIntValue();
      return kind == SuspectMessage.KIND
          ? SuspectMessage.decodeEntries(in)
          : PeerMessage.readEntries(kind, in);
    }
  }

  /**
   * Encodes entries as datagrams of at most {@link #MAX_BYTES}, halving the list while it is too
   * long. A single entry is never split.
   *
   * @param encoder encodes some of the entries
   * @param datagrams receives the datagrams in the order of the entries
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
   * Checks a condition on a datagram.
   *
   * @throws IOException with the problem if the condition is false
   */
  static void require(boolean isWellFormed, String problem) throws IOException {
    if (!isWellFormed) {
      throw new IOException("message between nodes " + problem);
    }
  }
}
