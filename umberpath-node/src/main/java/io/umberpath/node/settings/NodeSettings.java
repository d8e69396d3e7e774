package io.umberpath.node.settings;

import io.umberpath.control.ControlSettings;
import io.umberpath.model.Tier;
import io.umberpath.transport.TransportSecurity;
import java.util.List;
import java.util.Optional;

/**
 * Settings of a node process, from its settings file and flags.
 *
 * @param control consensus and distribution of configuration
 * @param proxy data plane
 * @param platform the platform's read-only service
 * @param operator operators' gRPC port
 * @param admin metrics and health port
 * @param security security of control connections between nodes
 */
public record NodeSettings(
    ControlSettings control,
    Proxy proxy,
    Platform platform,
    Operator operator,
    Admin admin,
    TransportSecurity security) {
  /**
   * Settings of the proxy.
   *
   * @param host IP address to listen on
   * @param edgePort port for clients; 0 picks a free port, -1 disables it
   * @param hopPort port for requests from other nodes; 0 picks a free port, -1 disables it
   * @param backend the node's local backend, if any
   * @param drainMillis maximum time a graceful shutdown waits for requests in flight
   * @param maxHeaderBytes maximum size of a request or response header
   * @param maxBodyBytes maximum size of a request body
   * @param queuePerBackend maximum number of requests queued for a slot
   */
  public record Proxy(
      String host,
      int edgePort,
      int hopPort,
      Optional<Backend> backend,
      long drainMillis,
      int maxHeaderBytes,
      long maxBodyBytes,
      int queuePerBackend) {}

  /**
   * The node's local backend.
   *
   * @param id its id in the platform's document
   * @param host its IP address
   * @param port its port
   * @param slots number of requests it processes concurrently
   * @param connections number of connections it accepts
   * @param probeMillis interval between health probes
   */
  public record Backend(
      String id, String host, int port, int slots, int connections, long probeMillis) {}

  /**
   * The platform's service.
   *
   * @param url URL of the document
   * @param timeoutMillis timeout of one read
   */
  public record Platform(String url, long timeoutMillis) {}

  /**
   * Operators' port.
   *
   * @param host IP address to listen on
   * @param port gRPC port; 0 picks a free port
   * @param tokens accepted tokens
   */
  public record Operator(String host, int port, List<Token> tokens) {}

  /**
   * An operator's token.
   *
   * @param sha256 lower-case hex SHA-256 of the token
   * @param tenant the tenant it acts for
   * @param tiers tiers the tenant is entitled to
   * @param fleetAdmin whether it may view the whole fleet, drain backends and re-form the fleet
   */
  public record Token(String sha256, String tenant, List<Tier> tiers, boolean fleetAdmin) {}

  /**
   * Admin port.
   *
   * @param host IP address to listen on
   * @param port HTTP port; 0 picks a free port
   */
  public record Admin(String host, int port) {}
}
