package io.umberpath.node.mesh;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A datagram with reports of nodes.
 *
 * @param kind how the receiver handles it
 * @param entries reports of one or more nodes
 */
record PeerMessage(Kind kind, List<Entry> entries) implements PeerDatagram {
  /** How a receiver handles a message. */
  enum Kind {
    /** Reports of one or more nodes, for the receiver only. */
    REPORTS,
    /** Reports of the sender's zone, which the receiver relays to its own zone. */
    DIGEST
  }

  /**
   * The report of a node, as the sender received it.
   *
   * @param host address of the node
   * @param ageMillis time since the sender received it, milliseconds; an age needs no clock
   *     synchronized between nodes
   * @param stamp identifies the report, by whichever path it arrives
   */
  record Entry(String host, long ageMillis, Stamp stamp, EncodedReport report) {}

  /**
   * Identifies a report of a node.
   *
   * @param incarnation random number, drawn at each start of the node
   * @param sequence rises with each report of the incarnation
   */
  record Stamp(int incarnation, int sequence) {}

  /** Reports in one datagram; one without an attested backend takes 45 to 50 bytes. */
  static final int MAX_ENTRIES = 28;

  private static final int INITIAL_BYTES_PER_ENTRY = 96;
  private static final Kind[] KINDS = Kind.values();

  /** Encodes entries as datagrams of at most {@link #MAX_BYTES}. */
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
      throw new IllegalStateException("failed to encode a message", impossible);
    }
    return bytes.toByteArray();
  }

  /**
   * Reads the entries of a datagram whose kind has been read.
   *
   * @throws IOException if an entry is malformed
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
    PeerDatagram.require(token == JsonToken.VALUE_STRING, "has an entry without an address");
    String host = in.getText();
    PeerDatagram.require(
        in.nextToken() == JsonToken.VALUE_NUMBER_INT, "has an entry without an age");
    long ageMillis = Math.max(0, in.getLongValue());
    PeerDatagram.require(
        in.nextToken() == JsonToken.VALUE_NUMBER_INT, "has an entry without an incarnation");
    int incarnation = in.getIntValue();
    PeerDatagram.require(
        in.nextToken() == JsonToken.VALUE_NUMBER_INT, "has an entry without a sequence number");
    Stamp stamp = new Stamp(incarnation, in.getIntValue());
    PeerDatagram.require(
        in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT, "has an entry without a report");
    return new Entry(host, ageMillis, stamp, EncodedReport.read(in));
  }
}
