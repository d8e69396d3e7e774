package io.umberpath.control;

import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.Roster;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Settings, the time of the current input and its outputs; shared by the components of one node.
 */
final class NodeContext {
  private final ControlSettings settings;
  private final SharedStateCache shared;
  private final Optional<SeededFault> fault;
  private final Quorum quorum;
  private long now;
  private List<ControlOutput> outputs = new ArrayList<>();

  NodeContext(ControlSettings settings, SharedStateCache shared, Optional<SeededFault> fault) {
    this.settings = settings;
    this.shared = shared;
    this.fault = fault;
    this.quorum = Quorum.of(settings.quorum());
  }

  void begin(long nowMillis) {
    now = Math.max(now, nowMillis);
  }

  List<ControlOutput> takeOutputs() {
    List<ControlOutput> taken = outputs;
    outputs = new ArrayList<>();
    return taken;
  }

  ControlSettings settings() {
    return settings;
  }

  SharedStateCache shared() {
    return shared;
  }

  Quorum quorum() {
    return quorum;
  }

  boolean hasFault(SeededFault candidate) {
    return fault.isPresent() && fault.get() == candidate;
  }

  /** This process without a slot. */
  Member process() {
    return settings.self();
  }

  PeerAddress address() {
    return settings.self().address();
  }

  long now() {
    return now;
  }

  RosterView view(Roster roster) {
    return shared.view(roster);
  }

  void send(PeerAddress to, ControlMessage message) {
    if (!to.equals(address())) {
      outputs.add(new ControlOutput.Send(to, message));
    }
  }

  void emit(ControlOutput output) {
    outputs.add(output);
  }

  void notice(String event, String detail) {
    outputs.add(new ControlOutput.Notice(event, detail));
  }

  /** Deterministic jitter of this process. */
  long jitter(long attempt, long bound) {
    return Jitter.of(process(), attempt, bound);
  }
}
