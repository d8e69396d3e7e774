package io.umberpath.control.store;

/**
 * Pauses after changes were heard: a few short ones when changes begin, as after a restart of many,
 * then longer ones, in which changes of a quick succession gather. Owner synchronizes.
 */
final class PollPauses {
  private int fastPolls;
  private long refilledMillis;

  /** All short pauses are left. */
  PollPauses(StoreWatcherSettings settings) {
    this.fastPolls = settings.fastPolls();
  }

  /** The pause that begins now, milliseconds. */
  long next(long nowMillis, StoreWatcherSettings settings) {
    long refilled = (nowMillis - refilledMillis) / settings.fastPollRefillMillis();
    fastPolls = (int) Math.min(settings.fastPolls(), fastPolls + refilled);
    refilledMillis += refilled * settings.fastPollRefillMillis();
    if (fastPolls == 0) {
      return settings.pauseMillis();
    }
    fastPolls--;
    return settings.fastPollPauseMillis();
  }
}
