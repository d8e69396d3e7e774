package io.umberpath.model;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * What the platform's read-only configuration service publishes. The revision is its total order.
 *
 * @param revision rises with each change at the platform, and with its era in the upper bits also
 *     when that comes back from an older copy; 0 before any was read
 * @param services service name to its back ends
 * @param machines live and leaving machines; this list lags and is only a hint
 */
public record PlatformDocument(
    long revision, SortedMap<String, List<BackendAddress>> services, List<Machine> machines) {
  private static final Comparator<BackendAddress> BY_ID = Comparator.comparing(BackendAddress::id);
  private static final Comparator<Machine> BY_ADDRESS = Comparator.comparing(Machine::control);

  /** Nothing has been read. */
  public static final PlatformDocument NONE = new PlatformDocument(0, new TreeMap<>(), List.of());

  /**
   * Copies the collections; back ends are kept by id and machines by address, so that documents of
   * equal content are equal however they were put together.
   */
  public PlatformDocument {
    TreeMap<String, List<BackendAddress>> copy = new TreeMap<>();
    services.forEach((name, backends) -> copy.put(name, sorted(backends, BY_ID)));
    services = Collections.unmodifiableSortedMap(copy);
    machines = sorted(machines, BY_ADDRESS);
  }

  private static <T> List<T> sorted(List<T> items, Comparator<T> order) {
    return items.stream().sorted(order).toList();
  }

  /**
   * One back end and the node beside it.
   *
   * @param id unique back-end id
   * @param host IP address of the back end
   * @param port port of the back end
   * @param zone its zone
   * @param nodeHost IP address of the node beside it
   * @param nodeHopPort port where that node takes calls from other nodes
   */
  public record BackendAddress(
      String id, String host, int port, String zone, String nodeHost, int nodeHopPort) {}

  /**
   * One machine as the platform believes it to be.
   *
   * @param control the address of its node
   * @param zone its zone
   * @param region its region
   * @param state live or leaving
   */
  public record Machine(PeerAddress control, String zone, String region, MachineState state) {}

  /** The platform's opinion of a machine. */
  public enum MachineState {
    /** In service. */
    LIVE,
    /** About to go away. */
    LEAVING
  }
}
