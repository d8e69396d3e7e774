package io.umberpath.control;

import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeResult.RefusalCode;
import io.umberpath.model.Version;
import io.umberpath.model.Violation;
import java.util.ArrayList;
import java.util.List;

/** Handles operators' requests to re-form the fleet. */
final class ReformRequests {
  private final NodeContext context;
  private final List<Long> tickets = new ArrayList<>();

  ReformRequests(NodeContext context) {
    this.context = context;
  }

  void begin(long ticket) {
    tickets.add(ticket);
  }

  /** Refuses a request because a fleet with a leader is not re-formed. */
  void refuseWithLeader(long ticket) {
    Violation violation =
        new Violation("fleet", "led", "a leader is active, so the fleet is not re-formed");
    respond(ticket, new ChangeResult.Refused(RefusalCode.CONFLICT, List.of(violation)));
  }

  /** Responds to the requests once this node leads with a committed state, or has given up. */
  void check(Leadership leadership, Election election, Version committed) {
    if (tickets.isEmpty()) {
      return;
    }
    boolean isDone = leadership.isLeader() && leadership.hasCommitted();
    boolean hasFailed = !leadership.isLeader() && !election.isCandidate();
    if (!isDone && !hasFailed) {
      return;
    }
    ChangeResult result =
        isDone
            ? new ChangeResult.Accepted(committed)
            : new ChangeResult.Refused(RefusalCode.NO_QUORUM, List.of());
    tickets.forEach(ticket -> respond(ticket, result));
    tickets.clear();
  }

  private void respond(long ticket, ChangeResult result) {
    context.emit(new ControlOutput.ChangeAnswered(ticket, result));
  }
}
