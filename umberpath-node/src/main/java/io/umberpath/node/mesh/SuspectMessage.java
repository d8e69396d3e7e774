package io.umberpath.node.mesh;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.umberpath.traffic.quarantine.CrashMark;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import io.umberpath.traffic.quarantine.SuspectReport;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A datagram with reports about requests that crash backends.
 *
 * @param reports reports that carry ages instead of times, so that receivers need not know the
 *     sender's clock
 */
record SuspectMessage(List<SuspectReport> reports) implements PeerDatagram {
  /** Distinguishes this message from the kinds of {@link PeerMessage}. */
  static final int KIND = 2;

  private static final int INITIAL_BYTES = 128;

  /** Encodes all reports into datagrams, each small enough to be sent unfragmented. */
  static List<byte[]> encode(long nowMillis, List<SuspectReport> reports) {
    List<byte[]> datagrams = new ArrayList<>();
    PeerDatagram.split(reports, some -> write(nowMillis, some), datagrams);
    return datagrams;
  }

  private static byte[] write(long nowMillis, List<SuspectReport> reports) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
    try (JsonGenerator out = CBOR.createGenerator(bytes)) {
      out.writeStartArray();
      out.writeNumber(KIND);
      for (SuspectReport report : reports) {
        write(nowMillis, report, out);
      }
      out.writeEndArray();
    } catch (IOException impossible) {
      throw new IllegalStateException("a message cannot be written", impossible);
    }
    return bytes.toByteArray();
  }

  private static void write(long nowMillis, SuspectReport report, JsonGenerator out)
      throws IOException {
    out.writeStartArray();
    out.writeNumber(report.request().target());
    out.writeNumber(report.request().body());
    for (CrashMark mark : report.marks()) {
      out.writeNumber(mark.crashId());
      out.writeNumber(nowMillis - mark.atMillis());
      out.writeBoolean(mark.cleared());
    }
    out.writeEndArray();
  }

  /** Reads the reports of a datagram whose kind has been read; their times are ages. */
  static SuspectMessage decodeEntries(JsonParser in) throws IOException {
    List<SuspectReport> reports = new ArrayList<>();
    for (JsonToken token = in.nextToken(); token != JsonToken.END_ARRAY; token = in.nextToken()) {
      PeerDatagram.require(
          token == JsonToken.START_ARRAY, "has no suspicion where one is expected");
      reports.add(readReport(in));
    }
    return new SuspectMessage(List.copyOf(reports));
  }

  private static SuspectReport readReport(JsonParser in) throws IOException {
    PeerDatagram.require(
        in.nextToken() == JsonToken.VALUE_NUMBER_INT, "has no request fingerprint");
    RequestFingerprint request = new RequestFingerprint(in.getLongValue(), number(in));
    List<CrashMark> marks = new ArrayList<>();
    for (JsonToken token = in.nextToken(); token != JsonToken.END_ARRAY; token = in.nextToken()) {
      PeerDatagram.require(
          token == JsonToken.VALUE_NUMBER_INT, "has no crash mark where one is expected");
      int crash = in.getIntValue();
      long ageMillis = Math.max(0, number(in));
      Boolean cleared = in.nextBooleanValue();
      PeerDatagram.require(cleared != null, "does not say whether a mark is cleared");
      marks.add(new CrashMark(crash, ageMillis, cleared));
    }
    return new SuspectReport(request, List.copyOf(marks));
  }

  private static long number(JsonParser in) throws IOException {
    PeerDatagram.require(
        in.nextToken() == JsonToken.VALUE_NUMBER_INT, "has no number where one is expected");
    return in.getLongValue();
  }

  /** Returns the reports with times on this node's clock. */
  List<SuspectReport> toLocalTimes(long nowMillis) {
    return reports.stream()
        .map(each -> new SuspectReport(each.request(), toLocalTimes(nowMillis, each.marks())))
        .toList();
  }

  private static List<CrashMark> toLocalTimes(long nowMillis, List<CrashMark> marks) {
    return marks.stream()
        .map(mark -> new CrashMark(mark.crashId(), nowMillis - mark.atMillis(), mark.cleared()))
        .toList();
  }
}
