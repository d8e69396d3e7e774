package io.umberpath.node.mesh;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.umberpath.control.store.StorePosition;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.traffic.routing.BackendLoad;
import io.umberpath.traffic.routing.UploadLoad;
import java.io.IOException;
import java.util.Optional;

/**
 * The periodic report of a node to the others.
 *
 * @param load load of the local backend
 * @param isDraining whether the node takes no new requests for the local backend
 * @param version version of its configuration; -1 before the first
 * @param position the store's position of the items that it holds
 * @param storeContact outcome of its calls to the store
 * @param unlistedZone zone of the node if the store, as far as the node knows, does not list it;
 *     empty otherwise, since each report between zones would carry it
 * @param suspectsDigest digest of the known requests that crash backends, 0 if there are none
 * @param attested entry of the local backend if it is alive but no longer listed by the store
 */
record PeerReport(
    BackendLoad load,
    boolean isDraining,
    long version,
    StorePosition position,
    ReportedContact storeContact,
    long suspectsDigest,
    Optional<String> unlistedZone,
    Optional<BackendEntry> attested) {
  private static final ReportedContact.State[] CONTACT_STATES = ReportedContact.State.values();

  /** The zone of the node, stated directly or in the attested entry. */
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
    write(out, load.uploads());
    out.writeBoolean(isDraining);
    out.writeNumber(version);
    out.writeNumber(position.era());
    out.writeNumber(position.revision());
    out.writeNumber(storeContact.state().ordinal());
    out.writeNumber(storeContact.durationMillis());
    out.writeNumber(suspectsDigest);
    if (attested.isPresent()) {
      write(out, attested.get());
    } else if (unlistedZone.isPresent()) {
      out.writeString(unlistedZone.get());
    }
    out.writeEndArray();
  }

  private static void write(JsonGenerator out, UploadLoad uploads) throws IOException {
    if (uploads.isKnown()) {
      out.writeNumber(uploads.outstanding());
      out.writeNumber(uploads.bodyMicros());
    }
  }

  /**
   * Reads a report whose list has begun.
   *
   * @throws IOException if it is malformed
   */
  static PeerReport read(JsonParser in) throws IOException {
    int running = (int) readNumber(in);
    int queued = (int) readNumber(in);
    int slots = Math.max(1, (int) readNumber(in));
    long serviceMicros = readNumber(in);
    int slownessPercent = BackendLoad.clampSlowness((int) readNumber(in));
    int failurePercent = BackendLoad.clampPercent(readNumber(in));
    BackendLoad load =
        new BackendLoad(running, queued, slots, serviceMicros, slownessPercent, 0)
            .withFailures(failurePercent)
            .withUploads(readUploads(in));
    boolean isDraining = in.currentToken() == JsonToken.VALUE_TRUE;
    long version = readNumber(in);
    long era = readNumber(in);
    StorePosition position = new StorePosition(era, readNumber(in));
    ReportedContact storeContact = readContact(in);
    long suspectsDigest = readNumber(in);
    Optional<String> unlistedZone = Optional.empty();
    Optional<BackendEntry> attested = Optional.empty();
    if (in.nextToken() != JsonToken.END_ARRAY) {
      String first = currentText(in);
      boolean isZone = in.nextToken() == JsonToken.END_ARRAY;
      unlistedZone = isZone ? Optional.of(first) : Optional.empty();
      attested = isZone ? Optional.empty() : Optional.of(readAttested(first, in));
    }
    return new PeerReport(
        load, isDraining, version, position, storeContact, suspectsDigest, unlistedZone, attested);
  }

  /** Reads the load of uploads if there is one; the parser is at the value behind it. */
  private static UploadLoad readUploads(JsonParser in) throws IOException {
    if (in.nextToken() != JsonToken.VALUE_NUMBER_INT) {
      return UploadLoad.NONE;
    }
    int outstanding = in.getIntValue();
    UploadLoad uploads = new UploadLoad(outstanding, readNumber(in));
    in.nextToken();
    return uploads;
  }

  private static ReportedContact readContact(JsonParser in) throws IOException {
    long state = readNumber(in);
    if (state < 0 || state >= CONTACT_STATES.length) {
      throw new IOException("report has an unknown store contact state: " + state);
    }
    return new ReportedContact(CONTACT_STATES[(int) state], readNumber(in));
  }

  private static void write(JsonGenerator out, BackendEntry entry) throws IOException {
    out.writeString(entry.id());
    out.writeString(entry.service());
    out.writeString(entry.address().host());
    out.writeNumber(entry.address().port());
    out.writeString(entry.zone());
    out.writeNumber(entry.slots());
    out.writeNumber(entry.startTimeMillis());
  }

  /** Reads an entry whose id has been read; the parser is at its service. */
  private static BackendEntry readAttested(String id, JsonParser in) throws IOException {
    String service = currentText(in);
    PeerAddress address = new PeerAddress(readText(in), (int) readNumber(in));
    String zone = readText(in);
    int slots = Math.max(1, (int) readNumber(in));
    long startTimeMillis = readNumber(in);
    if (in.nextToken() != JsonToken.END_ARRAY) {
      throw new IOException("report has trailing data");
    }
    return new BackendEntry(
        id, service, address, zone, slots, BackendEntry.State.READY, 0, startTimeMillis);
  }

  private static String readText(JsonParser in) throws IOException {
    in.nextToken();
    return currentText(in);
  }

  private static String currentText(JsonParser in) throws IOException {
    if (in.currentToken() != JsonToken.VALUE_STRING) {
      throw new IOException("report lacks an expected string");
    }
    return in.getText();
  }

  private static long readNumber(JsonParser in) throws IOException {
    if (in.nextToken() != JsonToken.VALUE_NUMBER_INT) {
      throw new IOException("report lacks an expected number");
    }
    return in.getLongValue();
  }
}
