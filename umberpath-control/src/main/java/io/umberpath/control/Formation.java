package io.umberpath.control;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Version;
import java.util.List;

/**
 * When a process that holds nothing may form a new fleet: it found no parent, sees every expected
 * process, and the seeds before it had time to do so.
 */
final class Formation {
  private static final long ELECTIONS_PER_SEED = 2;

  private final NodeContext context;
  private final Acceptor acceptor;
  private final SubtreeReporter reports;
  private boolean isDue;
  private long parentlessSince = Long.MAX_VALUE;
  private long dueAt = Long.MAX_VALUE;

  Formation(NodeContext context, Acceptor acceptor, SubtreeReporter reports) {
    this.context = context;
    this.acceptor = acceptor;
    this.reports = reports;
  }

  /** Looks again at what this process holds and sees. */
  void update(boolean hasParent) {
    boolean isBlank = !acceptor.isMember() && acceptor.held().version().equals(Version.NONE);
    isDue = false;
    dueAt = Long.MAX_VALUE;
    if (!isBlank || hasParent) {
      parentlessSince = Long.MAX_VALUE;
      return;
    }
    parentlessSince = Math.min(parentlessSince, context.now());
    if (reports.joins().size() >= context.settings().initialMembers()) {
      dueAt = parentlessSince + delay();
      isDue = context.now() >= dueAt;
    }
  }

  private long delay() {
    List<PeerAddress> seeds = context.settings().seeds();
    int index = seeds.indexOf(context.address());
    int rank = index >= 0 ? index : seeds.size();
    return rank * ELECTIONS_PER_SEED * context.settings().electionMillis();
  }

  /** Whether this process may ask the others to form a fleet now. */
  boolean isDue() {
    return isDue;
  }

  /** When that may become so; {@link Long#MAX_VALUE} if it is so or nothing points to it. */
  long nextAt() {
    return isDue ? Long.MAX_VALUE : dueAt;
  }
}
