package io.umberpath.node.settings;

import io.umberpath.control.ControlSettings;
import io.umberpath.model.Tier;
import io.umberpath.transport.TransportSecurity;
import java.util.List;
import java.util.Optional;

/**
 * Everything one node process is told, from its settings file and flags.
 *
 * @param control agreement and delivery
 * @param proxy request path
 * @param platform the platform's read-only service
 * @param operator operators' gRPC port
 * @param admin metrics and health port
 * @param security protection of the connections between nodes' control sides
 */
public record NodeSettings(
    ControlSettings control,
    Proxy proxy,
    Platform platform,
    Operator operator,
    Admin admin,
    TransportSecurity security) {
  /**
   * Request path.
   *
   * @param host IP address to listen on
   * @param edgePort port for callers; 0 picks a free one, -1 serves none
   * @param hopPort port for calls from other nodes; 0 picks a free one, -1 serves none
   * @param backend the back end beside this node, if any
   * @param drainMillis longest time a planned stop waits for requests in flight
   * @param maxHeaderBytes largest request or answer header
   * @param maxBodyBytes largest request body
   * @param queuePerBackend requests that may wait for a slot
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
   * The back end beside this node.
   *
   * @param id its id in the platform's document
   * @param host its IP address
   * @param port its port
   * @param slots requests it runs at a time
   * @param connections connections it accepts
   * @param probeMillis interval between health probes
   */
  public record Backend(
      String id, String host, int port, int slots, int connections, long probeMillis) {}

  /**
   * The platform's service.
   *
   * @param url URL of the document
   * @param timeoutMillis longest time one read may take
   */
  public record Platform(String url, long timeoutMillis) {}

  /**
   * Operators' port.
   *
   * @param host IP address to listen on
   * @param port gRPC port; 0 picks a free one
   * @param tokens who may call
   */
  public record Operator(String host, int port, List<Token> tokens) {}

  /**
   * An operator's token.
   *
   * @param sha256 lower-case hex SHA-256 of the token
   * @param tenant the tenant it acts for
   * @param tiers tiers the tenant pays for, by name
   * @param fleetAdmin whether it may see the whole fleet, drain and re-form
   */
  public record Token(String sha256, String tenant, List<Tier> tiers, boolean fleetAdmin) {}

  /**
   * Admin port.
   *
   * @param host IP address to listen on
   * @param port HTTP port; 0 picks a free one
   */
  public record Admin(String host, int port) {}
}
