package io.umberpath.model;

import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Document published by the platform's read-only configuration service. Documents are totally
 * ordered by revision.
 *
 * @param revision increases with each change at the platform; the upper bits hold the platform's
 *     era, so that it also increases when the platform is restored from an older copy; 0 before any
 *     was read
 * @param services backends by service name
 * @param machines live and leaving machines; this list lags and is only a hint
 */
public record PlatformDocument(
    long revision, SortedMap<String, List<BackendAddress>> services, List<Machine> machines) {
  private static final Comparator<BackendAddress> BY_ID = Comparator.comparing(BackendAddress::id);
  private static final Comparator<Machine> BY_ADDRESS = Comparator.comparing(Machine::control);

  /** No document has been read yet. */
  public static final PlatformDocument NONE = new PlatformDocument(0, new TreeMap<>(), List.of());

  /**
   * Copies the collections; sorts backends by id and machines by address, so that documents with
   * equal content are equal.
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
   * A backend and the node beside it.
   *
   * @param id unique backend id
   * @param host IP address of the backend
   * @param port port of the backend
   * @param zone its zone
   * @param nodeHost IP address of the node beside it
   * @param nodeHopPort port where that node accepts requests from other nodes
   */
  public record BackendAddress(
      String id, String host, int port, String zone, String nodeHost, int nodeHopPort) {}

  /**
   * A machine as reported by the platform.
   *
   * @param control the address of its node
   * @param zone its zone
   * @param region its region
   * @param state live or leaving
   */
  public record Machine(PeerAddress control, String zone, String region, MachineState state) {}

  /** State of a machine as reported by the platform. */
  public enum MachineState {
    /** In service. */
    LIVE,
    /** About to be removed. */
    LEAVING
  }
}
