package io.umberpath.control;

import io.umberpath.model.PeerAddress;
import io.umberpath.model.Version;
import java.util.List;

/**
 * Decides when a process without any state may form a new fleet: it has found no parent, sees every
 * expected process, and the seeds before it have had time to form the fleet.
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

  /** Re-evaluates the state of this process and the processes it sees. */
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

  /** Whether this process may now request votes for a new fleet. */
  boolean isDue() {
    return isDue;
  }

  /**
   * When {@link #isDue} may become true; {@link Long#MAX_VALUE} if it already is or formation is
   * not in prospect.
   */
  long nextAt() {
    return isDue ? Long.MAX_VALUE : dueAt;
  }
}
