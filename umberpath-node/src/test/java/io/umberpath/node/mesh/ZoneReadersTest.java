package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.StorePosition;
import io.umberpath.control.store.StoreReaders;
import io.umberpath.traffic.routing.BackendLoad;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Which of two nodes of a zone reads the store, and which readers are on standby. */
final class ZoneReadersTest {
  private static final String ONE = "10.0.0.1";
  private static final String OTHER = "10.0.0.2";
  private static final long ROUND_MILLIS = 250;
  private static final BackendLoad LOAD = new BackendLoad(0, 0, 6, 50_000, 100, 0);

  private final PeerReports reports = new PeerReports();
  private final Set<String> drainingHosts = new HashSet<>();
  private PeerView peers = PeerView.EMPTY;
  private long now = 100_000;
  private int count;

  private static PeerView viewOf(String host, Set<String> silent) {
    return PeerView.of(Set.of(host), silent, "z", each -> Optional.of("z"));
  }

  private ZoneReaders readersFor(String self) {
    return new ZoneReaders(self, () -> peers, () -> 900, reports, drainingHosts, ROUND_MILLIS);
  }

  private void addReport(String host, ReportedContact.State state) throws IOException {
    PeerReport report =
        new PeerReport(
            LOAD,
            false,
            1,
            new StorePosition(1, 1),
            new ReportedContact(state, 0),
            0,
            Optional.empty(),
            Optional.empty());
    PeerMessage.Stamp stamp = new PeerMessage.Stamp(1, ++count);
    reports.accept(new PeerMessage.Entry(host, 0, stamp, EncodedReport.of(report)), now);
  }

  private boolean shouldReadAfter(ZoneReaders readers, boolean refused, long millis) {
    now += millis;
    return readers.decide(now, refused).isReader();
  }

  /** The one of the two nodes that is elected as reader, and the other one. */
  private Map.Entry<String, String> electedAndOther() throws IOException {
    addReport(OTHER, ReportedContact.State.REACHABLE);
    peers = viewOf(OTHER, Set.of());
    ZoneReaders first = readersFor(ONE);
    boolean isOneReading = shouldReadAfter(first, false, 0);
    for (int round = 0; round < 8; round++) {
      isOneReading = shouldReadAfter(first, false, ROUND_MILLIS);
    }
    return isOneReading ? Map.entry(ONE, OTHER) : Map.entry(OTHER, ONE);
  }

  @Test
  void singleNodeOfAZoneReads() {
    assertThat(shouldReadAfter(readersFor(ONE), false, 0)).isTrue();
  }

  @Test
  void otherNodeReadsWhenTheElectedOneIsSilentOrDraining() throws IOException {
    String elected = electedAndOther().getKey();
    String other = electedAndOther().getValue();
    addReport(elected, ReportedContact.State.REACHABLE);

    peers = viewOf(elected, Set.of(elected));
    assertThat(shouldReadAfter(readersFor(other), false, 0)).isTrue();

    peers = viewOf(elected, Set.of());
    drainingHosts.add(elected);
    assertThat(shouldReadAfter(readersFor(other), false, 0)).isTrue();
  }

  @Test
  void readerIsOnStandbyOnceTwoHigherRankedReadersCallPromptly() throws IOException {
    List<String> ranked =
        Stream.of("10.1.0.1", "10.2.0.1", "10.3.0.1").sorted(StoreReaders.rankOrder()).toList();
    ZoneReaders last = readersFor(ranked.get(2));
    peers = PeerView.of(Set.copyOf(ranked.subList(0, 2)), Set.of(), "z", each -> Optional.of("y"));

    addReport(ranked.get(0), ReportedContact.State.REACHABLE);
    addReport(ranked.get(1), ReportedContact.State.LOST);
    assertThat(last.isStandby()).isFalse();

    addReport(ranked.get(1), ReportedContact.State.REACHABLE);
    assertThat(last.isStandby()).isTrue();
    assertThat(readersFor(ranked.get(1)).isStandby()).isFalse();

    peers = PeerView.of(peers.others(), Set.of(ranked.get(0)), "z", each -> Optional.of("y"));
    assertThat(last.isStandby()).isFalse();
  }

  @Test
  void decisionIsCachedForARoundUnlessItsInputsChange() {
    ZoneReaders readers = readersFor(ONE);
    assertThat(readers.decide(now, false)).isSameAs(readers.decide(now + 1, false));
    assertThat(readers.decide(now + 2, true)).isNotSameAs(readers.decide(now + 3, false));
    assertThat(readers.decide(now + 4, false))
        .isNotSameAs(readers.decide(now + 4 + ROUND_MILLIS, false));
  }
}
