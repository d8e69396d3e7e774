package io.umberpath.node.mesh;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;

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
   * Checks a part of a datagram.
   *
   * @throws IOException that names the problem
   */
  static void require(boolean wellFormed, String problem) throws IOException {
    if (!wellFormed) {
      throw new IOException("message between nodes " + problem);
    }
  }
}
