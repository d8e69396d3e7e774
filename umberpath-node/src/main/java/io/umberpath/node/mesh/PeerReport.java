package io.umberpath.node.mesh;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.traffic.routing.GateLoad;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;

/**
 * What a node regularly tells the others, in one datagram.
 *
 * @param load load of the back end beside it
 * @param leaving whether it takes no new work for that back end
 * @param version its configuration's version; -1 before the first
 * @param revision its back ends' revision; -1 before the first read
 * @param attested entry of the back end beside it, which lives though the store lists it no more
 */
record PeerReport(
    GateLoad load, boolean leaving, long version, long revision, Optional<BackendEntry> attested) {
  private static final CBORFactory CBOR = new CBORFactory();
  private static final int MAX_BYTES = 96;

  byte[] encode() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(MAX_BYTES);
    try (JsonGenerator out = CBOR.createGenerator(bytes)) {
      out.writeStartArray();
      out.writeNumber(load.running());
      out.writeNumber(load.queued());
      out.writeNumber(load.slots());
      out.writeNumber(load.serviceMicros());
      out.writeNumber(load.slownessPercent());
      out.writeBoolean(leaving);
      out.writeNumber(version);
      out.writeNumber(revision);
      if (attested.isPresent()) {
        write(out, attested.get());
      }
      out.writeEndArray();
    } catch (IOException impossible) {
      throw new IllegalStateException("a report cannot be written", impossible);
    }
    return bytes.toByteArray();
  }

  /**
   * Reads a datagram.
   *
   * @throws IOException if it is no report
   */
  static PeerReport decode(byte[] bytes, int length) throws IOException {
    try (JsonParser in = CBOR.createParser(bytes, 0, length)) {
      if (in.nextToken() != JsonToken.START_ARRAY) {
        throw new IOException("report is not a list");
      }
      int running = (int) number(in);
      int queued = (int) number(in);
      int slots = Math.max(1, (int) number(in));
      long serviceMicros = number(in);
      int slowness = Math.max(GateLoad.USUAL_PERCENT, (int) number(in));
      GateLoad load = new GateLoad(running, queued, slots, serviceMicros, slowness, 0);
      boolean leaving = Boolean.TRUE.equals(in.nextBooleanValue());
      return new PeerReport(load, leaving, number(in), number(in), attested(in));
    }
  }

  private static void write(JsonGenerator out, BackendEntry entry) throws IOException {
    out.writeString(entry.id());
    out.writeString(entry.service());
    out.writeString(entry.address().host());
    out.writeNumber(entry.address().port());
    out.writeString(entry.zone());
    out.writeNumber(entry.slots());
  }

  private static Optional<BackendEntry> attested(JsonParser in) throws IOException {
    if (in.nextToken() == JsonToken.END_ARRAY) {
      return Optional.empty();
    }
    String id = in.getText();
    String service = text(in);
    PeerAddress address = new PeerAddress(text(in), (int) number(in));
    String zone = text(in);
    int slots = Math.max(1, (int) number(in));
    return Optional.of(
        new BackendEntry(id, service, address, zone, slots, BackendEntry.State.READY, 0));
  }

  private static String text(JsonParser in) throws IOException {
    if (in.nextToken() != JsonToken.VALUE_STRING) {
      throw new IOException("report has no text where one is due");
    }
    return in.getText();
  }

  private static long number(JsonParser in) throws IOException {
    if (in.nextToken() != JsonToken.VALUE_NUMBER_INT) {
      throw new IOException("report has no number where one is due");
    }
    return in.getLongValue();
  }
}
