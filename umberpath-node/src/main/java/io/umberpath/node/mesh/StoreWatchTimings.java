package io.umberpath.node.mesh;

import io.umberpath.control.store.StoreWatcherSettings;

/** How the nodes that call the store time their calls. */
final class StoreWatchTimings {
  /**
   * Mean wait of a watch, milliseconds. A watch may hear nothing while changes are made, and then
   * just stand: how long it does so is part of {@link ChangeBudget}. Two nodes of all call so
   * often.
   */
  private static final long PROMPT_WATCH_MILLIS = 500;

  /** Share by which a wait differs from that, so that not all nodes find out at once. */
  private static final double WATCH_JITTER = 0.2;

  /**
   * The same for a node that hears of changes from others that call the store promptly. Its watch
   * stands in for theirs; that it hears nothing just when both are lost is not worth its calls.
   */
  private static final long STANDBY_WATCH_MILLIS = 2_300;

  /** Pause of such a node after changes, milliseconds: it hears of the next ones from others. */
  private static final long STANDBY_PAUSE_MILLIS = 1_000;

  /** Pause after changes, in which those of a quick succession gather, milliseconds. */
  private static final long PROMPT_PAUSE_MILLIS = 200;

  /** The same for the first few changes after a quiet time, such as a restart of many nodes. */
  private static final long FAST_POLL_PAUSE_MILLIS = 60;

  private static final int FAST_POLLS = 5;
  private static final long FAST_POLL_REFILL_MILLIS = 2_000;

  /** Pause after a failed call: from the first to the last of a succession, milliseconds. */
  private static final long MIN_BACKOFF_MILLIS = 150;

  private static final long MAX_BACKOFF_MILLIS = 1_000;

  /** For the nodes from which the others hear of changes. */
  static final StoreWatcherSettings PROMPT =
      new StoreWatcherSettings(
          PROMPT_WATCH_MILLIS,
          WATCH_JITTER,
          PROMPT_PAUSE_MILLIS,
          FAST_POLL_PAUSE_MILLIS,
          FAST_POLLS,
          FAST_POLL_REFILL_MILLIS,
          MIN_BACKOFF_MILLIS,
          MAX_BACKOFF_MILLIS);

  /** For a node that hears of changes from others that call the store promptly. */
  static final StoreWatcherSettings STANDBY =
      new StoreWatcherSettings(
          STANDBY_WATCH_MILLIS,
          WATCH_JITTER,
          STANDBY_PAUSE_MILLIS,
          STANDBY_PAUSE_MILLIS,
          0,
          FAST_POLL_REFILL_MILLIS,
          MIN_BACKOFF_MILLIS,
          MAX_BACKOFF_MILLIS);

  private StoreWatchTimings() {}
}
