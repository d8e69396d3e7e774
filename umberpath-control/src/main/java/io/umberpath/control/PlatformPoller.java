package io.umberpath.control;

/**
 * Decides whether and when this node reads the platform; failed reads are retried with exponential
 * backoff and jitter.
 */
final class PlatformPoller {
  private static final int MAX_BACKOFF_SHIFT = 5;
  private static final long RESPONSE_TIMEOUT_MILLIS = 10_000;

  private final NodeContext context;
  private final Acceptor acceptor;
  private final LeaderTracker leaderTracker;
  private long nextReadAt;
  private int failures;
  private long reads;
  private boolean isReading;

  PlatformPoller(NodeContext context, Acceptor acceptor, LeaderTracker leaderTracker) {
    this.context = context;
    this.acceptor = acceptor;
    this.leaderTracker = leaderTracker;
  }

  /** Whether this node may currently read the platform. */
  boolean isReader() {
    if (!acceptor.isMember()) {
      return false;
    }
    ControlSettings settings = context.settings();
    if (leaderTracker.isDeliveredWithin(ReaderAssignment.permissionMillis(settings))) {
      return leaderTracker.isSteady() && leaderTracker.readers().contains(acceptor.slot());
    }
    return isStandbyReader();
  }

  private boolean isStandbyReader() {
    RosterView view = context.view(acceptor.committed().roster());
    return ReaderAssignment.standbyReaders(view, context.settings().maxReaders()).stream()
        .anyMatch(member -> member.slot() == acceptor.slot());
  }

  /** Requests a read if one is due. */
  void tick() {
    if (context.now() < nextReadAt || !isReader()) {
      return;
    }
    if (isReading) {
      onFailure();
      return;
    }
    isReading = true;
    reads++;
    nextReadAt = context.now() + Math.max(RESPONSE_TIMEOUT_MILLIS, context.settings().readMillis());
    context.emit(new ControlOutput.ReadPlatform());
  }

  /** Handles a successful read. */
  void onResponse() {
    isReading = false;
    failures = 0;
    long interval = context.settings().readMillis();
    nextReadAt = context.now() + interval + context.jitter(reads, interval / 8);
  }

  /** Handles a failed read. */
  void onFailure() {
    isReading = false;
    failures = Math.min(failures + 1, MAX_BACKOFF_SHIFT);
    long interval = context.settings().readMillis() << failures;
    nextReadAt = context.now() + interval / 2 + context.jitter(reads + failures, interval / 2 + 1);
  }

  /** When {@link #tick} is due; the owner also calls it when rounds arrive or are missed. */
  long nextAt() {
    if (isReader()) {
      return nextReadAt;
    }
    if (!acceptor.isMember() || !isStandbyReader()) {
      return Long.MAX_VALUE;
    }
    long permissionEnds =
        leaderTracker.deliveredAt() + ReaderAssignment.permissionMillis(context.settings());
    return Math.max(nextReadAt, permissionEnds);
  }
}
