package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.model.routing.BackendStart;
import io.umberpath.node.mesh.NoticeParser.Announcement;
import io.umberpath.traffic.RequestRateLimiter;
import io.umberpath.traffic.load.BackendNotice;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The order of what a backend announces, through concurrent responses and restarts of nodes. */
final class LocalBackendNoticesTest {
  private static final BackendStart FIRST = new BackendStart("first", 1_000);
  private static final BackendStart SECOND = new BackendStart("second", 2_000);
  private static final Announcement NONE =
      new Announcement(Optional.of(BackendNotice.UNLIMITED), false);
  private static final Announcement MALFORMED = new Announcement(Optional.empty(), false);

  private long nowMillis = 10_000;
  private LocalBackendNotices local = newProcess();

  private LocalBackendNotices newProcess() {
    return new LocalBackendNotices(
        new BackendNotices(), new MeshEvents(() -> nowMillis), () -> nowMillis);
  }

  private static Announcement limit(double perSecond) {
    return new Announcement(Optional.of(perSecond), false);
  }

  /** Records a response to a request that was sent just before. */
  private void respond(BackendStart start, Announcement announcement) {
    respond(start, announcement, ++nowMillis);
    nowMillis++;
  }

  private void respond(BackendStart start, Announcement announcement, long sentMillis) {
    nowMillis++;
    local.recordResponse(start, announcement, sentMillis);
  }

  private double limitInForce() {
    return local.rateLimiter().perSecond();
  }

  private NoticeHeader headerOf(BackendStart start) {
    return local.headerFor(start).orElseThrow();
  }

  @Test
  void aBackendThatAnnouncesNothingHasNoHeader() {
    respond(FIRST, NONE);

    assertThat(local.headerFor(FIRST)).isEmpty();
    assertThat(local.rateLimiter().isLimited()).isFalse();
  }

  @Test
  void theLimitFollowsTheResponses() {
    respond(FIRST, limit(4.8));
    assertThat(limitInForce()).isEqualTo(4.8);
    respond(FIRST, limit(9));
    assertThat(limitInForce()).isEqualTo(9);
    respond(FIRST, MALFORMED);
    assertThat(limitInForce()).isEqualTo(9);
    respond(FIRST, NONE);

    assertThat(local.rateLimiter().isLimited()).isFalse();
    assertThat(headerOf(FIRST).notice().isLimited()).isFalse();
  }

  /** A response may have been written before the limit and be read after it. */
  @Test
  void aResponseThatWasUnderWayDoesNotEndTheLimit() {
    long sentMillis = nowMillis;
    respond(FIRST, limit(2.4));

    respond(FIRST, NONE, sentMillis);
    assertThat(limitInForce()).isEqualTo(2.4);
    respond(FIRST, limit(100), sentMillis);
    assertThat(limitInForce()).isEqualTo(2.4);
    respond(FIRST, limit(1), sentMillis);
    assertThat(limitInForce()).isEqualTo(1);

    respond(FIRST, NONE);
    assertThat(local.rateLimiter().isLimited()).isFalse();
  }

  @Test
  void theAnnouncedEndIsNeverTakenBack() {
    respond(FIRST, new Announcement(Optional.of(BackendNotice.UNLIMITED), true));
    respond(FIRST, NONE);
    respond(FIRST, limit(5));

    assertThat(local.isLeaving(FIRST)).isTrue();
    assertThat(local.isLeaving(SECOND)).isFalse();
    assertThat(headerOf(FIRST).notice().isLeaving()).isTrue();
  }

  @Test
  void aLimitBelongsToOneStart() {
    respond(FIRST, limit(2.4));
    respond(SECOND, NONE);
    assertThat(local.rateLimiter().isLimited()).isFalse();

    respond(SECOND, limit(7));
    local.startEnded(FIRST);
    assertThat(limitInForce()).isEqualTo(7);
    local.startEnded(SECOND);
    assertThat(local.rateLimiter().isLimited()).isFalse();
  }

  @Test
  void aRestartedNodeAppliesWhatOthersRemember() {
    respond(FIRST, limit(2.4));
    NoticeHeader remembered = headerOf(FIRST);
    local = newProcess();

    local.recordRemembered(FIRST, remembered);

    assertThat(limitInForce()).isEqualTo(2.4);
    assertThat(headerOf(FIRST).notice()).isEqualTo(remembered.notice());
  }

  @Test
  void theNewestThatOthersRememberIsApplied() {
    respond(FIRST, limit(2.4));
    final NoticeHeader older = headerOf(FIRST);
    respond(FIRST, limit(8));
    NoticeHeader newer = headerOf(FIRST);
    local = newProcess();

    local.recordRemembered(FIRST, newer);
    local.recordRemembered(FIRST, older);

    assertThat(limitInForce()).isEqualTo(8);
  }

  /** Otherwise a node that was not asked for long would revive a limit that has ended. */
  @Test
  void whatOthersRememberDoesNotReplaceWhatThisProcessHasRead() {
    respond(FIRST, limit(2.4));
    respond(FIRST, limit(3));
    NoticeHeader remembered = headerOf(FIRST);
    local = newProcess();
    respond(FIRST, NONE);

    local.recordRemembered(FIRST, remembered);

    assertThat(local.rateLimiter().isLimited()).isFalse();
    BackendNotice now = headerOf(FIRST).notice();
    assertThat(now.order()).isGreaterThan(remembered.notice().order());
    assertThat(remembered.notice().merge(now).isLimited()).isFalse();
  }

  @Test
  void anAnnouncedEndThatOthersRememberHoldsWhateverThisProcessHasRead() {
    respond(FIRST, new Announcement(Optional.of(3.0), true));
    NoticeHeader remembered = headerOf(FIRST);
    local = newProcess();
    respond(FIRST, NONE);

    local.recordRemembered(FIRST, remembered);

    assertThat(local.isLeaving(FIRST)).isTrue();
  }

  @Test
  void whatOthersRememberOfAnotherStartIsIgnored() {
    respond(FIRST, limit(2.4));
    NoticeHeader remembered = headerOf(FIRST);
    BackendStart again = new BackendStart("first", 9_000);
    local = newProcess();

    local.recordRemembered(again, remembered);

    assertThat(local.rateLimiter().isLimited()).isFalse();
  }

  /**
   * Nodes forward responses and restart at random. After the last response of the backend has
   * reached them, the node beside it and all others agree with it.
   */
  @Test
  void allNodesAgreeWithTheLastResponse() {
    for (long seed = 1; seed <= 300; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      local = newProcess();
      List<BackendNotices> edges = new ArrayList<>();
      for (int edge = 0; edge < 4; edge++) {
        edges.add(new BackendNotices());
      }
      Announcement last = NONE;
      for (int step = 0; step < 60; step++) {
        if (random.nextInt(8) == 0) {
          local = newProcess();
        } else if (random.nextInt(12) == 0) {
          edges.set(random.nextInt(4), new BackendNotices());
        } else if (random.nextInt(5) == 0) {
          last = random.nextBoolean() ? NONE : limit(random.nextInt(5));
        }
        exchange(edges.get(random.nextInt(4)), last);
      }
      for (int round = 0; round < 2; round++) {
        for (BackendNotices edge : edges) {
          exchange(edge, last);
        }
      }
      double expected = last.requestsPerSecond().orElseThrow();
      assertThat(edges)
          .as("seed %d", seed)
          .allSatisfy(edge -> assertThat(edge.find(FIRST).requestsPerSecond()).isEqualTo(expected));
      assertThat(local.rateLimiter().isLimited())
          .isEqualTo(expected != RequestRateLimiter.UNLIMITED);
    }
  }

  /** A request of another node, with what that node remembers, and the response to it. */
  private void exchange(BackendNotices edge, Announcement announcement) {
    edge.findLatest(FIRST.id()).ifPresent(header -> local.recordRemembered(FIRST, header));
    respond(FIRST, announcement);
    local.headerFor(FIRST).ifPresent(header -> edge.merge(FIRST, header.notice()));
  }
}
