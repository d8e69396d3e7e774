package io.umberpath.lab.cluster;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/** Writes the settings file of one node. */
final class SettingsFile {
  private static final ObjectMapper YAML = new YAMLMapper();
  private static final int NO_PORT = -1;

  private SettingsFile() {}

  /**
   * Writes it.
   *
   * @param file where
   * @param profile the deployment
   * @param node the node
   * @param seeds control addresses of the seeds
   * @param members nodes of the fleet
   * @param platformUrl the platform's document
   * @param token the operators' token, which becomes a fleet administrator's
   */
  static void write(
      Path file,
      DeploymentProfile profile,
      NodeSpec node,
      List<String> seeds,
      int members,
      String platformUrl,
      String token)
      throws IOException {
    ObjectNode root = YAML.createObjectNode();
    ObjectNode self = root.putObject("node");
    self.put("address", node.control());
    self.put("zone", node.zone());
    self.put("region", profile.region());
    seeds.forEach(self.putArray("seeds")::add);
    ObjectNode fleet = root.putObject("fleet");
    fleet.put("initialMembers", members);
    profile.timings().forEach(fleet::put);
    proxy(root.putObject("proxy"), node);
    root.putObject("platform").put("url", platformUrl);
    operator(root.putObject("operator"), profile, node, token);
    ObjectNode admin = root.putObject("admin");
    admin.put("host", node.host());
    admin.put("port", Ports.ADMIN);
    YAML.writeValue(file.toFile(), root);
  }

  private static void proxy(ObjectNode proxy, NodeSpec node) {
    proxy.put("host", node.host());
    proxy.put("edgePort", node.isEdge() ? Ports.EDGE : NO_PORT);
    proxy.put("hopPort", node.isEdge() ? NO_PORT : Ports.HOP);
    node.backendId()
        .ifPresent(
            id -> {
              ObjectNode backend = proxy.putObject("backend");
              backend.put("id", id);
              backend.put("address", node.host() + ":" + Ports.BACKEND);
            });
  }

  private static void operator(
      ObjectNode operator, DeploymentProfile profile, NodeSpec node, String token) {
    operator.put("host", node.host());
    operator.put("port", Ports.OPERATOR);
    ObjectNode entry = operator.putArray("tokens").addObject();
    entry.put("sha256", Hashing.sha256().hashString(token, StandardCharsets.UTF_8).toString());
    entry.put("tenant", profile.tenant());
    List.of("premium", "standard", "basic").forEach(entry.putArray("tiers")::add);
    entry.put("fleetAdmin", true);
  }
}
