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
 * @param service service of the back end beside it
 * @param backend where that back end listens
 * @param outbound where callers and the back end beside it send requests to
 * @param inbound where other nodes send requests for the back end beside it to
 * @param ready where readiness is asked for
 * @param exchange where other nodes ask for its state (TCP) and send reports to (UDP)
 * @param control where restarted nodes ask for its state too, if they are told of it
 * @param seeds such addresses of other nodes; may be out of date
 * @param isFirstStart whether the whole system starts for the first time, so that no other node
 *     holds anything yet
 * @param metricsPort port of the metrics, 0 for none
 * @param retry bounds of retries
 * @param coldStarts bounds of what a cold back end gets
 * @param changeBoundMillis time within which a change that the store acknowledged has to be in
 *     force on every node, milliseconds; 0 if none is given
 * @param graceMillis time from the order to stop until the process is killed, milliseconds
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
   * Bounds of what all nodes together send again.
   *
   * @param windowMillis sliding window, milliseconds
   * @param ratio share of the requests for a service
   * @param extra beyond that
   */
  public record Retry(long windowMillis, double ratio, double extra) {}

  /** The seeds but this node itself. */
  List<PeerAddress> otherSeeds() {
    return seeds.stream().filter(seed -> !control.equals(Optional.of(seed))).toList();
  }

  /** Whether other nodes are told to ask this one. */
  boolean isSeed() {
    return control.filter(seeds::contains).isPresent();
  }
}
