package io.umberpath.lab.simulate;

import io.umberpath.lab.simulate.ConvergenceTracker.Distribution;
import io.umberpath.lab.simulate.TrafficMeter.BytesPerSecond;
import io.umberpath.lab.simulate.TrafficMeter.DeliveryRole;
import io.umberpath.lab.simulate.TrafficMeter.KindCount;
import io.umberpath.lab.simulate.TrafficMeter.RoleLoad;
import java.util.List;
import java.util.Map;

/**
 * What one simulation found.
 *
 * @param settings what was run
 * @param formationMillis virtual time until the fleet had formed
 * @param inForce submission until in force everywhere, ms
 * @param untilAccepted submission until the operator is answered, ms
 * @param recoveryMillis from the end of the last fault until a new change was in force everywhere;
 *     -1 without faults
 * @param bytesPerSecond control bytes sent and received per node and second
 * @param roles load by role
 * @param messages messages sent
 * @param kinds messages and bytes by kind
 * @param sizes sizes of the state at the end
 * @param outcomes how submissions ended
 * @param peakReaders most nodes that read the platform at once
 * @param losses times accepted changes died with all their holders
 * @param reformCalls times an operator had to give up machines that were gone for good
 * @param events number of events
 * @param digest hash over all events
 * @param violations broken invariants; empty for a good run
 * @param wallSeconds real time the run took
 */
public record SimulationReport(
    SimulationSettings settings,
    long formationMillis,
    Distribution inForce,
    Distribution untilAccepted,
    long recoveryMillis,
    BytesPerSecond bytesPerSecond,
    Map<DeliveryRole, RoleLoad> roles,
    long messages,
    Map<String, KindCount> kinds,
    StateSizes sizes,
    Map<String, Integer> outcomes,
    int peakReaders,
    int losses,
    int reformCalls,
    long events,
    String digest,
    List<InvariantViolation> violations,
    double wallSeconds) {
  /**
   * Sizes of the state at the end.
   *
   * @param resources routes, pools and secrets
   * @param members roster members
   * @param answered remembered changes
   * @param versions committed versions seen
   * @param wholeStateBytes whole state as CBOR
   * @param documentBytes platform's document as CBOR
   */
  public record StateSizes(
      int resources,
      int members,
      int answered,
      int versions,
      int wholeStateBytes,
      int documentBytes) {}

  /** Whether every invariant held. */
  public boolean isGood() {
    return violations.isEmpty();
  }
}
