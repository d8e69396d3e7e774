package io.umberpath.node.mesh;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.umberpath.control.store.StorePosition;
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
 * @param position the store's position of its back ends
 * @param contact how its calls to the store go
 * @param unlistedZone its zone, where the store does not list it as far as it knows; empty else, as
 *     that would be told in each report between zones
 * @param suspects digest of what it knows of requests under which back ends end, 0 if nothing
 * @param attested entry of the back end beside it, which lives though the store lists it no more
 */
record PeerReport(
    GateLoad load,
    boolean leaving,
    long version,
    StorePosition position,
    ReportedContact contact,
    long suspects,
    Optional<String> unlistedZone,
    Optional<BackendEntry> attested) {
  private static final ReportedContact.State[] CONTACT_STATES = ReportedContact.State.values();

  /** The zone that it states, itself or in the entry that it attests. */
  Optional<String> statedZone() {
    return unlistedZone.isPresent() ? unlistedZone : attested.map(BackendEntry::zone);
  }

  /** Writes the report as a list. */
  void write(JsonGenerator out) throws IOException {
    out.writeStartArray();
    out.writeNumber(load.running());
    out.writeNumber(load.queued());
    out.writeNumber(load.slots());
    out.writeNumber(load.serviceMicros());
    out.writeNumber(load.slownessPercent());
    out.writeNumber(load.failurePercent());
    out.writeBoolean(leaving);
    out.writeNumber(version);
    out.writeNumber(position.era());
    out.writeNumber(position.revision());
    out.writeNumber(contact.state().ordinal());
    out.writeNumber(contact.forMillis());
    out.writeNumber(suspects);
    if (attested.isPresent()) {
      write(out, attested.get());
    } else if (unlistedZone.isPresent()) {
      out.writeString(unlistedZone.get());
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
    int slowness = GateLoad.boundedSlowness((int) number(in));
    int failures = GateLoad.percent(number(in));
    GateLoad load =
        new GateLoad(running, queued, slots, serviceMicros, slowness, 0).withFailures(failures);
    boolean leaving = Boolean.TRUE.equals(in.nextBooleanValue());
    long version = number(in);
    long era = number(in);
    StorePosition position = new StorePosition(era, number(in));
    ReportedContact contact = contact(in);
    long suspects = number(in);
    Optional<String> unlistedZone = Optional.empty();
    Optional<BackendEntry> attested = Optional.empty();
    if (in.nextToken() != JsonToken.END_ARRAY) {
      String first = currentText(in);
      boolean isZone = in.nextToken() == JsonToken.END_ARRAY;
      unlistedZone = isZone ? Optional.of(first) : Optional.empty();
      attested = isZone ? Optional.empty() : Optional.of(attested(first, in));
    }
    return new PeerReport(
        load, leaving, version, position, contact, suspects, unlistedZone, attested);
  }

  private static ReportedContact contact(JsonParser in) throws IOException {
    long state = number(in);
    if (state < 0 || state >= CONTACT_STATES.length) {
      throw new IOException("report has an unknown state of contact: " + state);
    }
    return new ReportedContact(CONTACT_STATES[(int) state], number(in));
  }

  private static void write(JsonGenerator out, BackendEntry entry) throws IOException {
    out.writeString(entry.id());
    out.writeString(entry.service());
    out.writeString(entry.address().host());
    out.writeNumber(entry.address().port());
    out.writeString(entry.zone());
    out.writeNumber(entry.slots());
    out.writeNumber(entry.bornMillis());
  }

  /** Reads an entry whose identity has been read, and which stands on its service. */
  private static BackendEntry attested(String id, JsonParser in) throws IOException {
    String service = currentText(in);
    PeerAddress address = new PeerAddress(text(in), (int) number(in));
    String zone = text(in);
    int slots = Math.max(1, (int) number(in));
    long born = number(in);
    if (in.nextToken() != JsonToken.END_ARRAY) {
      throw new IOException("report does not end where it is due");
    }
    return new BackendEntry(id, service, address, zone, slots, BackendEntry.State.READY, 0, born);
  }

  private static String text(JsonParser in) throws IOException {
    in.nextToken();
    return currentText(in);
  }

  private static String currentText(JsonParser in) throws IOException {
    if (in.currentToken() != JsonToken.VALUE_STRING) {
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
