package io.umberpath.control;

import io.umberpath.control.ControlMessage.FleetViewAnswer;
import io.umberpath.control.ControlMessage.FleetViewRequest;
import io.umberpath.control.ControlMessage.ReportGroup;
import io.umberpath.control.ControlStatus.NodeView;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.Roster;
import io.umberpath.model.Version;
import java.util.AbstractList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Handles requests for the leader's per-member view, at the leader and on other nodes. */
final class FleetViewRequests {
  private final NodeContext context;
  private final Map<Long, Long> deadlineByTicket = new LinkedHashMap<>();

  FleetViewRequests(NodeContext context) {
    this.context = context;
  }

  /** One entry per roster member, computed on first access. */
  static List<NodeView> lazyViews(Roster roster, List<ReportGroup> groups) {
    return new LazyViews(roster, groups);
  }

  private static final class LazyViews extends AbstractList<NodeView> {
    private final Roster roster;
    private final List<ReportGroup> groups;
    private final Map<Integer, ReportGroup> bySlot = new HashMap<>();

    private LazyViews(Roster roster, List<ReportGroup> groups) {
      this.roster = roster;
      this.groups = groups;
    }

    @Override
    public synchronized NodeView get(int index) {
      if (bySlot.isEmpty()) {
        groups.forEach(group -> group.slots().forEach(slot -> bySlot.put(slot, group)));
      }
      Member member = roster.members().get(index);
      ReportGroup group = bySlot.get(member.slot());
      return group == null
          ? new NodeView(member, false, Version.NONE, Version.NONE, 0)
          : new NodeView(member, true, group.held(), group.active(), group.revision());
    }

    @Override
    public int size() {
      return roster.size();
    }
  }

  /** Requests the view from the leader. */
  void request(long ticket, PeerAddress leader) {
    deadlineByTicket.put(ticket, context.now() + context.settings().electionMillis());
    context.send(leader, new FleetViewRequest(ticket));
  }

  /** Responds to a local request. */
  void respond(long ticket, List<NodeView> nodes) {
    context.emit(new ControlOutput.FleetViewAnswered(ticket, nodes));
  }

  /** Handles the leader's response. */
  void onResponse(FleetViewAnswer answer) {
    if (deadlineByTicket.remove(answer.ticket()) != null) {
      respond(answer.ticket(), answer.nodes());
    }
  }

  /** Completes requests to which no leader responded in time. */
  void tick() {
    for (Map.Entry<Long, Long> entry : List.copyOf(deadlineByTicket.entrySet())) {
      if (context.now() >= entry.getValue()) {
        deadlineByTicket.remove(entry.getKey());
        respond(entry.getKey(), List.of());
      }
    }
  }

  /** When {@link #tick} is due. */
  long nextAt() {
    return deadlineByTicket.values().stream().min(Long::compare).orElse(Long.MAX_VALUE);
  }
}
