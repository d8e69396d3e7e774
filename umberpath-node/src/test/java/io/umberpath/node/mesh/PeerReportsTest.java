package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.traffic.routing.GateLoad;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

final class PeerReportsTest {
  private final PeerReports reports = new PeerReports();

  private static PeerReport report(ReportedContact contact, int running) {
    GateLoad load = new GateLoad(running, 0, 6, 60_000, GateLoad.USUAL_PERCENT, 0);
    return new PeerReport(load, false, 1, 1, contact, Optional.empty());
  }

  /** Digests overtake each other: an older report of a node does not replace a later one. */
  @Test
  void theLatestReportOfANodeStands() {
    assertThat(reports.take("a", report(ReportedContact.NO_CALLS, 3), 1_000)).isTrue();
    assertThat(reports.take("a", report(ReportedContact.NO_CALLS, 5), 900)).isFalse();

    assertThat(reports.of(Set.of("a", "b")).get("a").report().load().running()).isEqualTo(3);
  }

  @Test
  void reportsThatAreTooOldAreForgotten() {
    reports.take("a", report(ReportedContact.NO_CALLS, 3), 1_000);
    reports.forget(12_000);

    assertThat(reports.of(Set.of("a"))).isEmpty();
  }

  @Test
  void theContactOfAZoneIsThatOfItsReaders() {
    ReportedContact lost = new ReportedContact(ReportedContact.State.LOST, 300);
    ReportedContact reachable = new ReportedContact(ReportedContact.State.REACHABLE, 700);
    reports.take("idle", report(ReportedContact.NO_CALLS, 0), 1_000);
    assertThat(reports.contact(host -> true)).isEmpty();

    reports.take("refused", report(lost, 0), 1_000);
    assertThat(reports.contact(host -> true)).contains(new StoreContact(false, 700));

    reports.take("reader", report(reachable, 0), 1_000);
    assertThat(reports.contact(host -> true)).contains(new StoreContact(true, 300));
    assertThat(reports.contact(host -> !host.equals("reader")))
        .contains(new StoreContact(false, 700));
  }
}
