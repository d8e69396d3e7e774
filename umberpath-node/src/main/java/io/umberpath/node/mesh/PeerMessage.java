package io.umberpath.node.mesh;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * One datagram between nodes.
 *
 * @param kind what the receiver does with it
 * @param entries reports of one or more nodes
 */
record PeerMessage(Kind kind, List<Entry> entries) implements PeerDatagram {
  /** What a receiver does with a message. */
  enum Kind {
    /** Reports of the sender, or of several nodes, for the receiver alone. */
    REPORTS,
    /** Reports of the sender's zone, for the whole zone of the receiver: it relays them. */
    DIGEST
  }

  /**
   * The report of a node, as the sender heard it.
   *
   * @param host address of the node
   * @param ageMillis time since the sender heard it, milliseconds; no clock of another node is
   *     needed to tell how long ago it was there
   * @param stamp names the report, whichever way it takes
   */
  record Entry(String host, long ageMillis, Stamp stamp, EncodedReport report) {}

  /**
   * Which report of a node it is.
   *
   * @param incarnation drawn at each start of the node
   * @param sequence rises with each report of that run
   */
  record Stamp(int incarnation, int sequence) {}

  /** Reports in one datagram; one without an attested back end takes 45 to 50 bytes. */
  static final int MAX_ENTRIES = 28;

  private static final int INITIAL_BYTES_PER_ENTRY = 96;
  private static final Kind[] KINDS = Kind.values();

  /** Datagrams that hold all entries, each short enough to pass whole. */
  static List<byte[]> encode(Kind kind, List<Entry> entries) {
    List<byte[]> datagrams = new ArrayList<>();
    for (int from = 0; from < entries.size(); from += MAX_ENTRIES) {
      int to = Math.min(entries.size(), from + MAX_ENTRIES);
      PeerDatagram.split(
          entries.subList(from, to), part -> new PeerMessage(kind, part).encode(), datagrams);
    }
    return datagrams;
  }

  byte[] encode() {
    ByteArrayOutputStream bytes =
        new ByteArrayOutputStream(INITIAL_BYTES_PER_ENTRY * entries.size());
    try (JsonGenerator out = CBOR.createGenerator(bytes)) {
      out.writeStartArray();
      out.writeNumber(kind.ordinal());
      for (Entry entry : entries) {
        out.writeString(entry.host());
        out.writeNumber(entry.ageMillis());
        out.writeNumber(entry.stamp().incarnation());
        out.writeNumber(entry.stamp().sequence());
        entry.report().write(out);
      }
      out.writeEndArray();
    } catch (IOException impossible) {
      throw new IllegalStateException("a message cannot be written", impossible);
    }
    return bytes.toByteArray();
  }

  /**
   * Reads the entries of a datagram whose kind has been read.
   *
   * @throws IOException if they are none
   */
  static PeerMessage readEntries(int kind, JsonParser in) throws IOException {
    PeerDatagram.require(kind >= 0 && kind < KINDS.length, "is of an unknown kind");
    List<Entry> entries = new ArrayList<>();
    for (JsonToken token = in.nextToken(); token != JsonToken.END_ARRAY; token = in.nextToken()) {
      entries.add(readEntry(token, in));
    }
    PeerDatagram.require(!entries.isEmpty(), "is empty");
    return new PeerMessage(KINDS[kind], entries);
  }

  private static Entry readEntry(JsonToken token, JsonParser in) throws IOException {
    PeerDatagram.require(token == JsonToken.VALUE_STRING, "has no address where one is due");
    String host = in.getText();
    PeerDatagram.require(
        in.nextToken() == JsonToken.VALUE_NUMBER_INT, "has no age where one is due");
    long ageMillis = Math.max(0, in.getLongValue());
    PeerDatagram.require(
        in.nextToken() == JsonToken.VALUE_NUMBER_INT, "has no run where one is due");
    int incarnation = in.getIntValue();
    PeerDatagram.require(
        in.nextToken() == JsonToken.VALUE_NUMBER_INT, "has no count where one is due");
    Stamp stamp = new Stamp(incarnation, in.getIntValue());
    PeerDatagram.require(
        in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT, "has no report where one is due");
    return new Entry(host, ageMillis, stamp, EncodedReport.read(in));
  }
}
