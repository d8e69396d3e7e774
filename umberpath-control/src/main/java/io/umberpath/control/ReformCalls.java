package io.umberpath.control;

import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeResult.RefusalCode;
import io.umberpath.model.Version;
import io.umberpath.model.Violation;
import java.util.ArrayList;
import java.util.List;

/** Answers operators' calls to re-form the fleet. */
final class ReformCalls {
  private final NodeContext context;
  private final List<Long> tickets = new ArrayList<>();

  ReformCalls(NodeContext context) {
    this.context = context;
  }

  void begin(long ticket) {
    tickets.add(ticket);
  }

  /** A fleet with a leader is not re-formed. */
  void refuseBecauseLed(long ticket) {
    Violation violation = new Violation("fleet", "led", "a leader is heard; nothing to re-form");
    answer(ticket, new ChangeResult.Refused(RefusalCode.CONFLICT, List.of(violation)));
  }

  /** Answers the calls once this node leads with a committed state, or gave up. */
  void check(Leadership leadership, Election election, Version committed) {
    if (tickets.isEmpty()) {
      return;
    }
    boolean done = leadership.leads() && leadership.isSettled();
    boolean failed = !leadership.leads() && !election.isCandidate();
    if (!done && !failed) {
      return;
    }
    ChangeResult result =
        done
            ? new ChangeResult.Accepted(committed)
            : new ChangeResult.Refused(RefusalCode.NO_QUORUM, List.of());
    tickets.forEach(ticket -> answer(ticket, result));
    tickets.clear();
  }

  private void answer(long ticket, ChangeResult result) {
    context.emit(new ControlOutput.ChangeAnswered(ticket, result));
  }
}
