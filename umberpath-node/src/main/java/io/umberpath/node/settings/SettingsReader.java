package io.umberpath.node.settings;

import com.google.common.net.InetAddresses;
import io.umberpath.control.ControlSettings;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.Tier;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/** Converts a parsed settings file into {@link NodeSettings}. */
final class SettingsReader {
  private static final String LOOPBACK = "127.0.0.1";
  private static final int NO_PORT = -1;
  private static final int MAX_MEMBERS = 100_000;
  private static final int MAX_TREE_FANOUT = 1_024;
  private static final int MAX_SLOTS = 100_000;
  private static final String ADDRESS_RULE =
      "must be IP:PORT with a port between 1 and " + PeerAddress.MAX_PORT;
  private static final long MINUTE_MILLIS = 60_000;
  private static final long HOUR_MILLIS = 60 * MINUTE_MILLIS;
  private static final long GIBIBYTE = 1L << 30;
  private static final PeerAddress PLACEHOLDER_ADDRESS = new PeerAddress(LOOPBACK, 1);
  private static final Pattern NAME_PATTERN =
      Pattern.compile("[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?");
  private static final Pattern SHA256_PATTERN = Pattern.compile("[0-9a-f]{64}");

  private final long incarnation;

  SettingsReader(long incarnation) {
    this.incarnation = incarnation;
  }

  NodeSettings read(MappingReader root) {
    Identity identity = root.group("node", this::readIdentity);
    return new NodeSettings(
        root.group("fleet", fleet -> readControl(fleet, identity)),
        root.group("proxy", proxy -> readProxy(proxy, identity.self().address().host())),
        root.group("platform", SettingsReader::readPlatform),
        root.group("operator", SettingsReader::readOperator),
        root.group("admin", SettingsReader::readAdmin),
        TransportSecurityReader.read(root, identity.self().address()));
  }

  private record Identity(Member self, List<PeerAddress> seeds) {}

  private Identity readIdentity(MappingReader node) {
    PeerAddress address = readAddress(node, "address");
    String zone = readName(node, "zone");
    String region = readName(node, "region");
    List<PeerAddress> seeds = new ArrayList<>();
    List<String> texts = node.texts("seeds");
    for (int index = 0; index < texts.size(); index++) {
      Optional<PeerAddress> seed = parseAddress(texts.get(index));
      seed.ifPresent(seeds::add);
      if (seed.isEmpty()) {
        node.addItemProblem("seeds", index, ADDRESS_RULE);
      }
    }
    return new Identity(new Member(Member.NO_SLOT, address, incarnation, zone, region), seeds);
  }

  private static ControlSettings readControl(MappingReader fleet, Identity identity) {
    long heartbeat = fleet.durationMillis("heartbeat", 10, MINUTE_MILLIS, 200);
    long parentStall = fleet.durationMillis("parentStall", 20, HOUR_MILLIS, 1_000);
    long election = fleet.durationMillis("election", 50, HOUR_MILLIS, 3_000);
    int fanout = fleet.smallInteger("fanout", 1, MAX_TREE_FANOUT, 8);
    int maxChildren = fleet.smallInteger("maxChildren", 1, MAX_TREE_FANOUT, 32);
    if (parentStall < 2 * heartbeat) {
      fleet.addProblem("parentStall", "must be at least twice the heartbeat");
    }
    if (election <= parentStall) {
      fleet.addProblem("election", "must be longer than parentStall");
    }
    if (maxChildren < fanout) {
      fleet.addProblem("maxChildren", "must be at least fanout");
    }
    int initialMembers = (int) fleet.integer("initialMembers", 1, MAX_MEMBERS);
    if (initialMembers == 1 && hasOtherSeed(identity)) {
      fleet.addProblem(
          "initialMembers", "must be at least 2 with other seeds: a fleet of one cannot grow");
    }
    return new ControlSettings(
        identity.self(),
        identity.seeds(),
        initialMembers,
        fleet.choice(
            "quorum", ControlSettings.QuorumRule.class, ControlSettings.QuorumRule.MAJORITY),
        fleet.durationMillis("batchWindow", 0, MINUTE_MILLIS, 20),
        heartbeat,
        parentStall,
        election,
        fanout,
        maxChildren,
        fleet.smallInteger("maxReaders", 1, 1_000, 3),
        fleet.durationMillis("readInterval", 10, HOUR_MILLIS, 1_000),
        fleet.smallInteger("maxQueuedChanges", 1, 1_000_000, 1_000),
        fleet.smallInteger("rememberedChanges", 1, 1_000_000, 10_000));
  }

  private static boolean hasOtherSeed(Identity identity) {
    PeerAddress self = identity.self().address();
    return identity.seeds().stream().anyMatch(seed -> !seed.equals(self));
  }

  private static NodeSettings.Proxy readProxy(MappingReader proxy, String nodeHost) {
    return new NodeSettings.Proxy(
        readHost(proxy, nodeHost),
        proxy.smallInteger("edgePort", NO_PORT, PeerAddress.MAX_PORT, NO_PORT),
        proxy.smallInteger("hopPort", NO_PORT, PeerAddress.MAX_PORT, NO_PORT),
        proxy.optionalGroup("backend", SettingsReader::readBackend),
        proxy.durationMillis("drain", 0, HOUR_MILLIS, MINUTE_MILLIS),
        proxy.smallInteger("maxHeaderBytes", 1_024, 1 << 20, 16_384),
        proxy.integer("maxBodyBytes", 1, 64 * GIBIBYTE, 64L << 20),
        proxy.smallInteger("queuePerBackend", 0, MAX_SLOTS, 12));
  }

  private static NodeSettings.Backend readBackend(MappingReader backend) {
    PeerAddress address = readAddress(backend, "address");
    int slots = backend.smallInteger("slots", 1, MAX_SLOTS, 6);
    int connections = backend.smallInteger("connections", 1, MAX_SLOTS, 130);
    if (connections < slots) {
      backend.addProblem("connections", "must be at least slots");
    }
    return new NodeSettings.Backend(
        readName(backend, "id"),
        address.host(),
        address.port(),
        slots,
        connections,
        backend.durationMillis("probeInterval", 10, MINUTE_MILLIS, 500));
  }

  private static NodeSettings.Platform readPlatform(MappingReader platform) {
    String url = platform.text("url");
    if (!url.isEmpty() && !isHttpUrl(url)) {
      platform.addProblem("url", "must be http://IP:PORT/PATH");
    }
    return new NodeSettings.Platform(
        url, platform.durationMillis("timeout", 10, MINUTE_MILLIS, 2_000));
  }

  private static NodeSettings.Operator readOperator(MappingReader operator) {
    List<NodeSettings.Token> tokens = operator.sensitiveGroups("tokens", SettingsReader::readToken);
    Set<String> hashes = new HashSet<>();
    for (NodeSettings.Token token : tokens) {
      if (!hashes.add(token.sha256())) {
        operator.addRedactedProblem("tokens", "the same sha256 is given twice");
      }
    }
    return new NodeSettings.Operator(
        readHost(operator, LOOPBACK),
        operator.smallInteger("port", 0, PeerAddress.MAX_PORT, 0),
        tokens);
  }

  private static NodeSettings.Token readToken(MappingReader token) {
    String sha256 = token.text("sha256");
    if (!SHA256_PATTERN.matcher(sha256).matches()) {
      token.addRedactedProblem("sha256", "must be the lower-case hex SHA-256 of the token");
    }
    List<Tier> tiers = token.choices("tiers", Tier.class);
    if (tiers.isEmpty()) {
      token.addProblem("tiers", "must name at least one tier");
    }
    return new NodeSettings.Token(
        sha256, readName(token, "tenant"), List.copyOf(tiers), token.flag("fleetAdmin", false));
  }

  private static NodeSettings.Admin readAdmin(MappingReader admin) {
    return new NodeSettings.Admin(
        readHost(admin, LOOPBACK), admin.smallInteger("port", 0, PeerAddress.MAX_PORT, 0));
  }

  private static String readHost(MappingReader reader, String defaultHost) {
    String host = reader.text("host", defaultHost);
    if (!InetAddresses.isInetAddress(host)) {
      reader.addProblem("host", "must be an IP address");
    }
    return host;
  }

  private static String readName(MappingReader reader, String key) {
    String name = reader.text(key);
    if (reader.isPresent(key) && !NAME_PATTERN.matcher(name).matches()) {
      reader.addProblem(key, "must match " + NAME_PATTERN.pattern());
    }
    return name;
  }

  private static PeerAddress readAddress(MappingReader reader, String key) {
    Optional<PeerAddress> address = parseAddress(reader.text(key));
    if (address.isEmpty() && reader.isPresent(key)) {
      reader.addProblem(key, ADDRESS_RULE);
    }
    return address.orElse(PLACEHOLDER_ADDRESS);
  }

  private static Optional<PeerAddress> parseAddress(String text) {
    try {
      return Optional.of(PeerAddress.parse(text))
          .filter(address -> InetAddresses.isInetAddress(address.host()));
    } catch (IllegalArgumentException malformed) {
      return Optional.empty();
    }
  }

  private static boolean isHttpUrl(String url) {
    try {
      URI uri = new URI(url);
      return "http".equals(uri.getScheme())
          && uri.getHost() != null
          && InetAddresses.isInetAddress(uri.getHost())
          && uri.getPort() > 0
          && uri.getPort() <= PeerAddress.MAX_PORT;
    } catch (URISyntaxException malformed) {
      return false;
    }
  }
}
