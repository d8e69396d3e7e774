package io.umberpath.node.mesh;

import io.umberpath.control.store.StoreWatcherSettings;

/** Timings of the calls of nodes that read the store. */
final class StoreWatchTimings {
  /**
   * Mean wait of a watch, milliseconds. A watch may hang without receiving the changes that are
   * made, so that its wait is part of {@link ChangeBudget}. Two of all nodes call this often.
   */
  private static final long PROMPT_WATCH_MILLIS = 500;

  /** Random variation of a wait, as a share of it, so that not all nodes notice a fault at once. */
  private static final double WATCH_JITTER = 0.2;

  /**
   * The same for a standby reader, which learns of changes from nodes that call the store promptly.
   * Its watch is the fallback if both of them are lost; that it should hang at the same time is too
   * unlikely to justify more calls.
   */
  private static final long STANDBY_WATCH_MILLIS = 2_300;

  /** Pause of a standby reader after changes, milliseconds: others tell it of the next ones. */
  private static final long STANDBY_PAUSE_MILLIS = 1_000;

  /** Pause after changes, which batches those in quick succession, milliseconds. */
  private static final long PROMPT_PAUSE_MILLIS = 200;

  /** The same for the first few changes after a quiet time, e.g. when many nodes restart. */
  private static final long FAST_POLL_PAUSE_MILLIS = 60;

  private static final int FAST_POLLS = 5;
  private static final long FAST_POLL_REFILL_MILLIS = 2_000;

  /** Backoff after the first of consecutive failed calls, milliseconds. */
  private static final long MIN_BACKOFF_MILLIS = 150;

  /** Upper limit of the backoff, milliseconds. */
  private static final long MAX_BACKOFF_MILLIS = 1_000;

  /** For the readers that notify all other nodes of changes. */
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

  /** For a standby reader. */
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
