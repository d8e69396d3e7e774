package io.umberpath.control;

/** Whether this node reads the platform, and when; reads back off with jitter when they fail. */
final class PlatformReading {
  private static final int MAX_BACKOFF_SHIFT = 5;
  private static final long ANSWER_MILLIS = 10_000;

  private final NodeContext context;
  private final Acceptor acceptor;
  private final LeaderTrack track;
  private long nextReadAt;
  private int failures;
  private long reads;
  private boolean reading;

  PlatformReading(NodeContext context, Acceptor acceptor, LeaderTrack track) {
    this.context = context;
    this.acceptor = acceptor;
    this.track = track;
  }

  /** Whether this node may read now. */
  boolean isReader() {
    if (!acceptor.isMember()) {
      return false;
    }
    ControlSettings settings = context.settings();
    if (track.fedWithin(ReaderNaming.permissionMillis(settings))) {
      return track.isSteady() && track.readers().contains(acceptor.slot());
    }
    return isStandIn();
  }

  private boolean isStandIn() {
    RosterView view = context.view(acceptor.committed().roster());
    return ReaderNaming.standIns(view, context.settings().maxReaders()).stream()
        .anyMatch(member -> member.slot() == acceptor.slot());
  }

  /** Asks for a read if one is due. */
  void tick() {
    if (context.now() < nextReadAt || !isReader()) {
      return;
    }
    if (reading) {
      failed();
      return;
    }
    reading = true;
    reads++;
    nextReadAt = context.now() + Math.max(ANSWER_MILLIS, context.settings().readMillis());
    context.emit(new ControlOutput.ReadPlatform());
  }

  /** A read was answered. */
  void answered() {
    reading = false;
    failures = 0;
    long interval = context.settings().readMillis();
    nextReadAt = context.now() + interval + context.spread(reads, interval / 8);
  }

  /** A read failed. */
  void failed() {
    reading = false;
    failures = Math.min(failures + 1, MAX_BACKOFF_SHIFT);
    long interval = context.settings().readMillis() << failures;
    nextReadAt = context.now() + interval / 2 + context.spread(reads + failures, interval / 2 + 1);
  }

  /** When {@link #tick} is due; the owner also calls it when rounds are heard or missed. */
  long nextAt() {
    if (isReader()) {
      return nextReadAt;
    }
    if (!acceptor.isMember() || !isStandIn()) {
      return Long.MAX_VALUE;
    }
    long permissionEnds = track.fedAt() + ReaderNaming.permissionMillis(context.settings());
    return Math.max(nextReadAt, permissionEnds);
  }
}
