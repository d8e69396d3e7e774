package io.umberpath.node.mesh;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.traffic.routing.GateLoad;
import java.io.IOException;
import java.util.Optional;

/**
 * What a node regularly tells the others.
 *
 * @param load load of the back end beside it
 * @param leaving whether it takes no new work for that back end
 * @param version its configuration's version; -1 before the first
 * @param revision its back ends' revision; -1 before the first read
 * @param contact how its calls to the store go
 * @param attested entry of the back end beside it, which lives though the store lists it no more
 */
record PeerReport(
    GateLoad load,
    boolean leaving,
    long version,
    long revision,
    ReportedContact contact,
    Optional<BackendEntry> attested) {

  /** Writes the report as a list. */
  void write(JsonGenerator out) throws IOException {
    out.writeStartArray();
    out.writeNumber(load.running());
    out.writeNumber(load.queued());
    out.writeNumber(load.slots());
    out.writeNumber(load.serviceMicros());
    out.writeNumber(load.slownessPercent());
    out.writeBoolean(leaving);
    out.writeNumber(version);
    out.writeNumber(revision);
    out.writeNumber(contact.state().ordinal());
    out.writeNumber(contact.forMillis());
    if (attested.isPresent()) {
      write(out, attested.get());
    }
    out.writeEndArray();
  }

  /**
   * Reads a report whose list has begun.
   *
   * @throws IOException if it is none
   */
  static PeerReport read(JsonParser in) throws IOException {
    int running = (int) number(in);
    int queued = (int) number(in);
    int slots = Math.max(1, (int) number(in));
    long serviceMicros = number(in);
    int slowness = Math.max(GateLoad.USUAL_PERCENT, (int) number(in));
    GateLoad load = new GateLoad(running, queued, slots, serviceMicros, slowness, 0);
    boolean leaving = Boolean.TRUE.equals(in.nextBooleanValue());
    return new PeerReport(load, leaving, number(in), number(in), contact(in), attested(in));
  }

  private static ReportedContact contact(JsonParser in) throws IOException {
    long state = number(in);
    ReportedContact.State[] states = ReportedContact.State.values();
    if (state < 0 || state >= states.length) {
      throw new IOException("report has an unknown state of contact: " + state);
    }
    return new ReportedContact(states[(int) state], number(in));
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
    if (in.nextToken() != JsonToken.END_ARRAY) {
      throw new IOException("report does not end where it is due");
    }
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
