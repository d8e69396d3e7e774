package io.umberpath.lab.simulate;

import io.umberpath.control.ControlInput;
import io.umberpath.control.ControlOutput;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.ProxySnapshot;
import java.util.List;

/** Hears everything that state machines do, at the virtual time they do it. */
interface FleetObserver {
  /** An input was handled; {@code node.status} is already the new status. */
  void handled(SimulatedNode node, ControlInput input, List<ControlOutput> outputs);

  /** A proxy switches; {@code node.active} still tells what it ran before. */
  void activating(SimulatedNode node, ProxySnapshot snapshot);

  /** An operator is answered. */
  void answered(SimulatedNode node, long ticket, ChangeResult result);

  /** A read of the platform begins; {@code node.reads} counts it. */
  void reading(SimulatedNode node);

  /** A message leaves a node. */
  void sent(SimulatedNode from, SimulatedNode to, int size);

  /** Processes are about to die together; they still hold what they know. */
  void dying(List<SimulatedNode> nodes);

  /** Processes have died together. */
  void died(List<SimulatedNode> nodes);

  /** A process began. */
  void started(SimulatedNode node);

  /** A state machine threw. */
  void failed(SimulatedNode node, ControlInput input, RuntimeException cause);
}
