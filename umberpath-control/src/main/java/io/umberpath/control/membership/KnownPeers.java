package io.umberpath.control.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The other nodes that this node exchanges reports with: those listed in the store, and unlisted
 * ones that report. Each peer becomes silent after its own timeout since it was last heard from;
 * being listed is no evidence that it is alive. A pause of this node itself makes no peer silent.
 * The owner synchronizes access.
 */
public final class KnownPeers {
  /**
   * Location and timeout of a node.
   *
   * @param zone zone of the node
   * @param silentMillis silence after which it counts as unreachable, milliseconds
   */
  public record ListedPeer(String zone, long silentMillis) {}

  private static final class Peer {
    private Optional<String> zone = Optional.empty();
    private long silentMillis;
    private long lastHeardMillis;
    private boolean isListed;

    Peer(long lastHeardMillis) {
      this.lastHeardMillis = lastHeardMillis;
    }

    void setLocation(ListedPeer entry) {
      zone = Optional.of(entry.zone());
      silentMillis = entry.silentMillis();
    }

    boolean isSilentFor(long nowMillis, long millis) {
      return lastHeardMillis + millis < nowMillis;
    }
  }

  private final String self;
  private final long unlistedRetentionMillis;
  private final long pauseThresholdMillis;
  private final Map<String, Peer> peers = new HashMap<>();

  /**
   * Timeout of a node that was never listed and may be in any zone: the longest timeout of the
   * others.
   */
  private long unknownZoneSilentMillis;

  private long lastTickMillis = -1;

  /**
   * Creates an empty set of peers.
   *
   * @param self address of this node, which is never silent
   * @param unlistedRetentionMillis how long an unlisted node is retained after its last report
   * @param pauseThresholdMillis gap between two ticks above which this node itself was paused
   */
  public KnownPeers(String self, long unlistedRetentionMillis, long pauseThresholdMillis) {
    this.self = self;
    this.unlistedRetentionMillis = unlistedRetentionMillis;
    this.unknownZoneSilentMillis = unlistedRetentionMillis;
    this.pauseThresholdMillis = pauseThresholdMillis;
  }

  /** Replaces the listed nodes, by address. For newly known ones the full timeout starts now. */
  public void replaceListed(long nowMillis, Map<String, ListedPeer> listed) {
    unknownZoneSilentMillis =
        listed.values().stream()
            .mapToLong(ListedPeer::silentMillis)
            .max()
            .orElse(unlistedRetentionMillis);
    peers.forEach((address, peer) -> peer.isListed &= listed.containsKey(address));
    listed.forEach(
        (address, entry) -> {
          if (!address.equals(self)) {
            Peer peer = peers.computeIfAbsent(address, absent -> new Peer(nowMillis));
            peer.isListed = true;
            peer.setLocation(entry);
          }
        });
    forgetUnlisted(nowMillis);
  }

  private void forgetUnlisted(long nowMillis) {
    peers
        .values()
        .removeIf(peer -> !peer.isListed && peer.isSilentFor(nowMillis, unlistedRetentionMillis));
  }

  /** Records that a node was alive at a time, as reported by itself or by another node. */
  public void recordHeard(long atMillis, String address) {
    if (!address.equals(self)) {
      Peer peer = peers.computeIfAbsent(address, absent -> new Peer(atMillis));
      peer.lastHeardMillis = Math.max(peer.lastHeardMillis, atMillis);
    }
  }

  /** Updates the location of an unlisted node from its own report. */
  public void updateLocation(String address, ListedPeer stated) {
    Peer peer = peers.get(address);
    if (peer != null && !peer.isListed) {
      peer.setLocation(stated);
    }
  }

  /** Accounts for the passage of time; must be called regularly. */
  public void tick(long nowMillis) {
    long gap = lastTickMillis < 0 ? 0 : nowMillis - lastTickMillis;
    lastTickMillis = nowMillis;
    if (gap > pauseThresholdMillis) {
      for (Peer peer : peers.values()) {
        peer.lastHeardMillis = Math.min(nowMillis, peer.lastHeardMillis + gap);
      }
    }
    forgetUnlisted(nowMillis);
  }

  /** Addresses of the peers that are silent, listed or not. */
  public Set<String> silentPeers(long nowMillis) {
    Set<String> silent = new HashSet<>();
    peers.forEach(
        (address, peer) -> {
          long millis = peer.zone.isEmpty() ? unknownZoneSilentMillis : peer.silentMillis;
          if (peer.isSilentFor(nowMillis, millis)) {
            silent.add(address);
          }
        });
    return silent;
  }

  /** Of the given addresses, those that have not been heard from for the given time. */
  public Set<String> silentFor(Collection<String> addresses, long nowMillis, long millis) {
    Set<String> silent = new HashSet<>();
    for (String address : addresses) {
      Peer peer = peers.get(address);
      if (peer != null && peer.isSilentFor(nowMillis, millis)) {
        silent.add(address);
      }
    }
    return silent;
  }

  /** The current or last zone of a node, as listed or as stated by the node; empty if unknown. */
  public Optional<String> zoneOf(String address) {
    Peer peer = peers.get(address);
    return peer == null ? Optional.empty() : peer.zone;
  }

  /** All addresses except this node's own, listed or not. */
  public Set<String> others() {
    return new HashSet<>(peers.keySet());
  }
}
