package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.umberpath.control.store.DepartedStarts.Departed;
import io.umberpath.control.store.DepartedStarts.Departure;
import io.umberpath.control.store.ItemPatch;
import io.umberpath.control.store.StateRequest;
import io.umberpath.control.store.StoreChanges;
import io.umberpath.control.store.StoreEvent;
import io.umberpath.control.store.StoreFacts;
import io.umberpath.control.store.StoreItem;
import io.umberpath.control.store.StorePosition;
import io.umberpath.control.store.TextPatch;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.BackendStart;
import io.umberpath.traffic.quarantine.CrashMark;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import io.umberpath.traffic.quarantine.SuspectReport;
import io.umberpath.traffic.routing.BackendLoad;
import io.umberpath.traffic.routing.UploadLoad;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The messages between nodes: reports, transfers, the hop header. */
final class PeerMessagesTest {
  private static final BackendEntry ENTRY =
      new BackendEntry(
          "i-7f", "booking", new PeerAddress("10.0.0.1", 80), "z", 6, BackendEntry.State.READY, 0);

  private static final PeerMessage.Stamp STAMP = new PeerMessage.Stamp(-1_234_567_890, 70_000);

  private static PeerReport report(boolean isDraining, Optional<BackendEntry> attested) {
    return report(new BackendLoad(5, 2, 6, 61_000, 400, 0), isDraining, attested);
  }

  private static PeerReport report(
      BackendLoad load, boolean isDraining, Optional<BackendEntry> attested) {
    return new PeerReport(
        load,
        isDraining,
        42,
        new StorePosition(3, 1_000_000_007),
        new ReportedContact(ReportedContact.State.LOST, 1_200),
        0,
        Optional.empty(),
        attested);
  }

  private static PeerMessage message(PeerMessage.Kind kind, int count, PeerReport report) {
    EncodedReport encoded = EncodedReport.of(report);
    return new PeerMessage(
        kind,
        IntStream.range(0, count)
            .mapToObj(index -> new PeerMessage.Entry("10.0.0." + index, index, STAMP, encoded))
            .toList());
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void loadOfUploadsRoundTrips(boolean isDraining) throws IOException {
    BackendLoad load =
        new BackendLoad(5, 2, 6, 61_000, 400, 0).withUploads(new UploadLoad(25, 48_000));
    PeerReport report = report(load, isDraining, Optional.of(ENTRY));

    assertThat(EncodedReport.of(report).decode()).isEqualTo(report);
  }

  @Test
  void zoneOfAnUnlistedNodeRoundTrips() throws IOException {
    PeerReport listed = report(false, Optional.empty());
    PeerReport unlisted =
        new PeerReport(
            listed.load(),
            false,
            listed.version(),
            listed.position(),
            listed.storeContact(),
            listed.suspectsDigest(),
            Optional.of("z"),
            Optional.empty());
    PeerMessage message = message(PeerMessage.Kind.REPORTS, 1, unlisted);

    byte[] bytes = message.encode();

    assertThat(PeerDatagram.decode(bytes, bytes.length)).isEqualTo(message);
    assertThat(unlisted.statedZone()).contains("z");
    assertThat(listed.statedZone()).isEmpty();
    assertThat(report(false, Optional.of(ENTRY)).statedZone()).contains(ENTRY.zone());
  }

  @Test
  void suspectReportsRoundTrip() throws IOException {
    CrashMark mark = new CrashMark(-7, 90_000, false);
    CrashMark cleared = new CrashMark(1_234_567_890, 99_750, true);
    SuspectReport first =
        new SuspectReport(new RequestFingerprint(-1, Long.MAX_VALUE), List.of(mark));
    SuspectReport second = new SuspectReport(new RequestFingerprint(2, 3), List.of(mark, cleared));

    byte[] bytes = SuspectMessage.encode(100_000, List.of(first, second)).get(0);
    SuspectMessage read = (SuspectMessage) PeerDatagram.decode(bytes, bytes.length);

    // The receiver's clock differs from the sender's.
    CrashMark moved = new CrashMark(-7, 490_000, false);
    CrashMark clearedMoved = new CrashMark(1_234_567_890, 499_750, true);
    assertThat(read.toLocalTimes(500_000))
        .containsExactly(
            new SuspectReport(first.request(), List.of(moved)),
            new SuspectReport(second.request(), List.of(moved, clearedMoved)));
    assertThat(bytes.length).isLessThan(80);
  }

  @Test
  void manySuspectReportsAreSplitIntoUnfragmentedDatagrams() throws IOException {
    List<CrashMark> marks =
        IntStream.range(0, 64).mapToObj(crash -> new CrashMark(crash << 24, 0, true)).toList();
    List<SuspectReport> many =
        IntStream.range(0, 50)
            .mapToObj(index -> new SuspectReport(new RequestFingerprint(index, -index), marks))
            .toList();

    List<SuspectReport> read = new ArrayList<>();
    for (byte[] bytes : SuspectMessage.encode(3_600_000, many)) {
      assertThat(bytes.length).isLessThanOrEqualTo(PeerDatagram.MAX_BYTES);
      read.addAll(
          ((SuspectMessage) PeerDatagram.decode(bytes, bytes.length)).toLocalTimes(3_600_000));
    }

    assertThat(read).isEqualTo(many);
  }

  @Test
  void reportRoundTrips() throws IOException {
    PeerMessage message = message(PeerMessage.Kind.REPORTS, 1, report(true, Optional.empty()));

    byte[] bytes = message.encode();

    assertThat(PeerDatagram.decode(bytes, bytes.length)).isEqualTo(message);
    assertThat(bytes.length).isLessThan(58);
  }

  /** A zone of 25 nodes, the size in the largest deployments, gossips in single datagrams. */
  @Test
  void reportsOfAZoneFitOneDatagram() {
    PeerMessage zone = message(PeerMessage.Kind.REPORTS, 25, report(false, Optional.empty()));

    assertThat(PeerMessage.encode(PeerMessage.Kind.REPORTS, zone.entries())).hasSize(1);
  }

  @Test
  void reportWithAnAttestedBackendRoundTrips() throws IOException {
    PeerMessage message = message(PeerMessage.Kind.REPORTS, 1, report(false, Optional.of(ENTRY)));

    byte[] bytes = message.encode();

    PeerMessage read = (PeerMessage) PeerDatagram.decode(bytes, bytes.length);
    assertThat(read).isEqualTo(message);
    assertThat(read.entries().get(0).report().decode())
        .isEqualTo(report(false, Optional.of(ENTRY)));
    for (int length = 0; length < bytes.length; length++) {
      int part = length;
      assertThatThrownBy(() -> PeerDatagram.decode(bytes, part)).isInstanceOf(IOException.class);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 14, 24, 25, 28, 29, 143})
  void digestIsSplitIntoUnfragmentedDatagrams(int count) throws IOException {
    PeerMessage whole = message(PeerMessage.Kind.DIGEST, count, report(false, Optional.of(ENTRY)));

    List<PeerMessage.Entry> read = new ArrayList<>();
    for (byte[] bytes : PeerMessage.encode(PeerMessage.Kind.DIGEST, whole.entries())) {
      assertThat(bytes.length).isLessThanOrEqualTo(PeerMessage.MAX_BYTES);
      read.addAll(((PeerMessage) PeerDatagram.decode(bytes, bytes.length)).entries());
    }

    assertThat(read).isEqualTo(whole.entries());
  }

  /** Reports are not validated when a message is decoded, but when they are decoded themselves. */
  @Test
  void malformedReportIsRejectedWhenDecoded() throws IOException {
    byte[] bytes = message(PeerMessage.Kind.REPORTS, 1, report(false, Optional.empty())).encode();
    // The last byte ends the message; the one before it ends the report's list.
    bytes[bytes.length - 2] = 0;
    PeerMessage read = (PeerMessage) PeerDatagram.decode(bytes, bytes.length);

    assertThatThrownBy(() -> read.entries().get(0).report().decode())
        .isInstanceOf(IOException.class);
  }

  @Test
  void malformedMessageIsRejected() {
    byte[] garbage = {1, 2, 3, 4};

    assertThatThrownBy(() -> PeerDatagram.decode(garbage, garbage.length))
        .isInstanceOf(IOException.class);
  }

  @Test
  void changesRoundTrip() throws IOException {
    StoreChanges changes =
        new StoreChanges(
            new StorePosition(2, 7),
            new StorePosition(2, 12),
            List.of(new StoreItem("a", "1", 8), new StoreItem("b", "", 12)),
            List.of(new StoreEvent.Delete("c", 9)),
            List.of(new ItemPatch("d", 6, 11, TextPatch.between("{old}{text}", "{text}{new}"))));

    StoreFacts facts =
        new StoreFacts(
            Optional.of(new StoreItem("configuration", "{}", 30)),
            List.of(
                new Departed(
                    new BackendStart("i-7f", 90), Departure.LEAVING, new StorePosition(1, 20)),
                new Departed(
                    new BackendStart("i-80", 0), Departure.ENDED, new StorePosition(2, 9))));
    StateTransfer transfer = new StateTransfer(changes, facts);

    byte[] bytes = StateChangesCodec.encode(transfer);

    assertThat(StateChangesCodec.read(new ByteArrayInputStream(bytes))).isEqualTo(transfer);
  }

  @Test
  void transferRequestRoundTrips() throws IOException {
    StateRequest held = new StateRequest(new StorePosition(3, 17), 12);
    TransferRequest request = new TransferRequest(held, 42, true);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    StateChangesCodec.write(request, bytes);

    assertThat(StateChangesCodec.readRequest(new ByteArrayInputStream(bytes.toByteArray())))
        .isEqualTo(request);
  }

  @Test
  void truncatedChangesAreRejected() {
    byte[] whole =
        StateChangesCodec.encode(
            new StateTransfer(
                new StoreChanges(
                    StorePosition.UNKNOWN,
                    new StorePosition(0, 12),
                    List.of(new StoreItem("a", "1", 3)),
                    List.of()),
                StoreFacts.NONE));

    for (int length = 0; length < whole.length; length++) {
      ByteArrayInputStream part = new ByteArrayInputStream(whole, 0, length);
      assertThatThrownBy(() -> StateChangesCodec.read(part)).isInstanceOf(IOException.class);
    }
  }

  @Test
  void hopHeaderRoundTrips() {
    HopHeader hop = new HopHeader("i-7f", "r-1", 2, 150, 180, 40, -5, true);

    assertThat(HopHeader.decode(hop.encode())).contains(hop);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "i-7f",
        "i-7f,r-1,2,150,180,40,-5",
        ",r-1,2,150,180,40,-5,0",
        "i-7f,r-1,x,150,180,40,-5,0",
        "a,b,1,2,3,4,5,6,7"
      })
  void malformedHopHeaderIsIgnored(String text) {
    assertThat(HopHeader.decode(text)).isEmpty();
  }
}
