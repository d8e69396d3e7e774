package io.umberpath.node.mesh;

import io.umberpath.model.PeerAddress;
import io.umberpath.traffic.ColdStartLimiter;
import java.util.List;
import java.util.Optional;

/**
 * Settings of a node that follows an external store.
 *
 * @param name name of the node, for logs
 * @param zone its zone
 * @param service service of the local backend
 * @param backend address of the local backend
 * @param outbound listener for requests of clients and of the local backend
 * @param inbound listener for requests of other nodes to the local backend
 * @param ready listener of the readiness endpoint
 * @param exchange listener for state requests (TCP) and reports (UDP) of other nodes
 * @param control second listener for state requests, for restarted nodes that have it as a seed
 * @param seeds control addresses of other nodes; may be out of date
 * @param isFirstStart whether the whole system starts for the first time, so that no other node has
 *     a state yet
 * @param metricsPort port of the metrics, 0 for none
 * @param retry limits of retries
 * @param coldStarts limits of the requests to a cold backend
 * @param changeBoundMillis time within which a change that the store acknowledged has to be in
 *     force on every node, milliseconds; 0 if there is no bound
 * @param graceMillis time from the stop signal until the process is killed, milliseconds
 * @param headers names of headers
 */
public record MeshSettings(
    String name,
    String zone,
    String service,
    PeerAddress backend,
    PeerAddress outbound,
    PeerAddress inbound,
    PeerAddress ready,
    PeerAddress exchange,
    Optional<PeerAddress> control,
    List<PeerAddress> seeds,
    boolean isFirstStart,
    int metricsPort,
    Retry retry,
    ColdStartLimiter.Bounds coldStarts,
    long changeBoundMillis,
    long graceMillis,
    HeaderNames headers) {
  /**
   * Limits of the retries of all nodes together.
   *
   * @param windowMillis sliding window, milliseconds
   * @param ratio retries per request of a service
   * @param extra retries allowed in addition
   */
  public record Retry(long windowMillis, double ratio, double extra) {}

  /** The seeds without this node. */
  List<PeerAddress> otherSeeds() {
    return seeds.stream().filter(seed -> !control.equals(Optional.of(seed))).toList();
  }

  /** Whether this node is a seed of other nodes. */
  boolean isSeed() {
    return control.filter(seeds::contains).isPresent();
  }
}
