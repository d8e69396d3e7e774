package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.StorePosition;
import io.umberpath.traffic.routing.BackendLoad;
import java.io.IOException;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class PeerReportsTest {
  private final PeerReports reports = new PeerReports();

  private static PeerReport report(ReportedContact contact, int running) {
    BackendLoad load = new BackendLoad(running, 0, 6, 60_000, BackendLoad.USUAL_PERCENT, 0);
    return new PeerReport(
        load, false, 1, new StorePosition(1, 1), contact, 0, Optional.empty(), Optional.empty());
  }

  /** Uses a stamp of one incarnation with the time as sequence number. */
  private boolean accept(String host, PeerReport report, int atMillis) throws IOException {
    return accept(host, new PeerMessage.Stamp(7, atMillis), report, atMillis);
  }

  private boolean accept(String host, PeerMessage.Stamp stamp, PeerReport report, long atMillis)
      throws IOException {
    PeerMessage.Entry entry = new PeerMessage.Entry(host, 0, stamp, EncodedReport.of(report));
    return reports.accept(entry, atMillis).isPresent();
  }

  /** Digests may arrive out of order: an older report does not replace a newer one. */
  @Test
  void latestReportOfANodeIsKept() throws IOException {
    assertThat(accept("a", report(ReportedContact.NO_CALLS, 3), 1_000)).isTrue();
    assertThat(accept("a", report(ReportedContact.NO_CALLS, 5), 900)).isFalse();

    assertThat(reports.ofHosts(Set.of("a", "b")).get("a").report().load().running()).isEqualTo(3);
  }

  @Test
  void expiredReportsAreRemoved() throws IOException {
    accept("a", report(ReportedContact.NO_CALLS, 3), 1_000);
    reports.removeExpired(12_000);

    assertThat(reports.ofHosts(Set.of("a"))).isEmpty();
  }

  @Test
  void storeContactOfAZoneIsThatOfItsReaders() throws IOException {
    ReportedContact lost = new ReportedContact(ReportedContact.State.LOST, 300);
    ReportedContact reachable = new ReportedContact(ReportedContact.State.REACHABLE, 700);
    accept("idle", report(ReportedContact.NO_CALLS, 0), 1_000);
    assertThat(reports.storeContact(host -> true)).isEmpty();

    accept("refused", report(lost, 0), 1_000);
    assertThat(reports.storeContact(host -> true)).contains(new StoreContact(false, 700));

    accept("reader", report(reachable, 0), 1_000);
    assertThat(reports.storeContact(host -> true)).contains(new StoreContact(true, 300));
    assertThat(reports.storeContact(host -> !host.equals("reader")))
        .contains(new StoreContact(false, 700));
  }

  /** Otherwise a forwarded report would keep a dead node alive forever. */
  @Test
  void duplicateReportIsIgnored() throws IOException {
    PeerReport report = report(ReportedContact.NO_CALLS, 3);
    assertThat(accept("a", report, 1_000)).isTrue();

    assertThat(accept("a", new PeerMessage.Stamp(7, 1_000), report, 1_050)).isFalse();
    assertThat(reports.ofHosts(Set.of("a")).get("a").madeAtMillis()).isEqualTo(1_000);
  }

  @Test
  void restartedNodeRestartsItsSequence() throws IOException {
    PeerReport report = report(ReportedContact.NO_CALLS, 3);
    accept("a", report, 1_000);

    assertThat(accept("a", new PeerMessage.Stamp(8, 1), report, 1_500)).isTrue();
    assertThat(accept("a", new PeerMessage.Stamp(7, 1_001), report, 1_100)).isFalse();
  }
}
