package io.umberpath.node.mesh;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Upper bounds of the time from the store's acknowledgement of a change until it is in force on the
 * last node: for each single fault, the remaining propagation path as a sum of named worst cases.
 * Longer intervals between store calls must fit into these sums.
 */
final class ChangeBudget {
  /** Largest share of a bound that a path may take; the rest is for busy or slow machines. */
  static final double MAX_SHARE_OF_BOUND = 0.75;

  /** A store call with an immediate response; 30 ms from a write to the reader's log line. */
  private static final long STORE_CALL_MILLIS = 30;

  /** Sending a datagram to another node and processing it there, with 0.3 of a core. */
  private static final long DATAGRAM_MILLIS = 20;

  /**
   * A transfer of changes (connect, request, response): 10 to 60 ms between log lines of two nodes.
   */
  private static final long TRANSFER_MILLIS = 60;

  /** One worst-case duration on a path. */
  record Step(String name, long millis) {}

  /**
   * The propagation path of a change.
   *
   * @param name the single fault that lengthens it
   */
  record Path(String name, List<Step> steps) {
    long millis() {
      return steps.stream().mapToLong(Step::millis).sum();
    }
  }

  private static final Step PROMPT_PAUSE =
      new Step("pause after changes", StoreWatchTimings.PROMPT.pauseMillis());
  private static final Step STANDBY_PAUSE =
      new Step("pause of a standby reader", StoreWatchTimings.STANDBY.pauseMillis());
  private static final Step CALL = new Step("answer of the store", STORE_CALL_MILLIS);
  private static final Step WATCH =
      new Step("watch that hears nothing", StoreWatchTimings.PROMPT.longestWaitMillis());
  private static final Step BACKOFF =
      new Step("pause after a failed call", StoreWatchTimings.PROMPT.minBackoffMillis());
  private static final Step ANNOUNCE =
      new Step("wait until it is announced", MeshNode.ANNOUNCE_DELAY_MILLIS);
  private static final Step DATAGRAM = new Step("report to the zone", DATAGRAM_MILLIS);
  private static final Step RELAY = new Step("report to another zone", 2 * DATAGRAM_MILLIS);
  private static final Step READER_WAIT =
      new Step("a reader waits for the store", TransferSchedule.READER_WAIT_MILLIS);
  private static final Step OTHER_ZONE_WAIT =
      new Step("a node waits for its own zone", TransferSchedule.OTHER_ZONE_WAIT_MILLIS);
  private static final Step TRANSFER_PAUSE =
      new Step("pause after a transfer", TransferSchedule.TRANSFER_PAUSE_MILLIS);
  private static final Step PULL_CHECK =
      new Step("until a transfer begins", StatePuller.CHECK_INTERVAL_MILLIS);
  private static final Step TRANSFER = new Step("transfer", TRANSFER_MILLIS);
  private static final Step NEXT_SOURCE =
      new Step("until another source is asked", TransferSchedule.SLOW_TRANSFER_MILLIS);

  /** From a prompt reader to the reader of another zone, and from there to a node of that zone. */
  private static final List<Step> TO_OTHER_ZONE =
      List.of(
          ANNOUNCE,
          RELAY,
          READER_WAIT,
          PULL_CHECK,
          TRANSFER,
          ANNOUNCE,
          DATAGRAM,
          TRANSFER_PAUSE,
          PULL_CHECK,
          TRANSFER);

  private static Path path(String name, List<Step> first, List<Step> rest) {
    return new Path(name, Stream.of(first, rest).flatMap(List::stream).toList());
  }

  /** The paths, one for each single fault. */
  static List<Path> paths() {
    return List.of(
        path("none", List.of(PROMPT_PAUSE, CALL), TO_OTHER_ZONE),
        path("a watch hears nothing", List.of(PROMPT_PAUSE, WATCH, CALL), TO_OTHER_ZONE),
        path("a watch is cut", List.of(PROMPT_PAUSE, CALL, BACKOFF, CALL), TO_OTHER_ZONE),
        path("history is gone", List.of(PROMPT_PAUSE, CALL, CALL, CALL), TO_OTHER_ZONE),
        path(
            "both prompt readers are lost",
            List.of(STANDBY_PAUSE, CALL),
            List.of(ANNOUNCE, DATAGRAM, TRANSFER_PAUSE, PULL_CHECK, TRANSFER)),
        path(
            "a zone's reader is lost, refused or throttled",
            List.of(PROMPT_PAUSE, CALL),
            List.of(ANNOUNCE, RELAY, OTHER_ZONE_WAIT, PULL_CHECK, TRANSFER)),
        path("a source does not answer", List.of(PROMPT_PAUSE, CALL, NEXT_SOURCE), TO_OTHER_ZONE));
  }

  /** The path that takes longest. */
  static Path longest() {
    return paths().stream().max(Comparator.comparingLong(Path::millis)).orElseThrow();
  }

  /** Whether a path takes less than {@link #MAX_SHARE_OF_BOUND} of a bound. */
  static boolean isWithin(Path path, long boundMillis) {
    return path.millis() < MAX_SHARE_OF_BOUND * boundMillis;
  }

  private ChangeBudget() {}
}
