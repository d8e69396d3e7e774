package io.umberpath.control.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The other nodes that this one exchanges reports with: those that the store lists, and unlisted
 * ones that report. Each is silent after a time of its own since it was last heard of; whether it
 * is listed is no sign of life. A pause of this node itself counts for none of them. Owner
 * synchronizes.
 */
public final class KnownPeers {
  /**
   * Where a node is.
   *
   * @param zone its zone
   * @param silentMillis silence after which it counts as out of reach, milliseconds
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

  /** Silence of a node that was never listed and may be in any zone: the longest of the others. */
  private long unknownZoneSilentMillis;

  private long lastTickMillis = -1;

  /**
   * Creates a set without peers.
   *
   * @param self address of this node, which is never silent
   * @param unlistedMillis how long a node that is not listed is known after its last report
   * @param ownPauseMillis gap between two ticks from which on this node itself stood still
   */
  public KnownPeers(String self, long unlistedRetentionMillis, long pauseThresholdMillis) {
    this.self = self;
    this.unlistedRetentionMillis = unlistedRetentionMillis;
    this.unknownZoneSilentMillis = unlistedRetentionMillis;
    this.pauseThresholdMillis = pauseThresholdMillis;
  }

  /**
   * The nodes that are listed now, by address. Those that were not known have the whole time to be
   * heard of.
   */
  public void replace(long nowMillis, Map<String, ListedPeer> listed) {
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

  /** A node was there at a time, as it said itself or as another node heard. */
  public void heard(long atMillis, String address) {
    if (!address.equals(self)) {
      Peer peer = peers.computeIfAbsent(address, absent -> new Peer(atMillis));
      peer.lastHeardMillis = Math.max(peer.lastHeardMillis, atMillis);
    }
  }

  /** Takes what a node that is not listed says of itself. */
  public void place(String address, ListedPeer stated) {
    Peer peer = peers.get(address);
    if (peer != null && !peer.isListed) {
      peer.setLocation(stated);
    }
  }

  /** Lets time pass; to be called regularly. */
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

  /** Addresses that have been silent for too long, listed or not. */
  public Set<String> silent(long nowMillis) {
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

  /** Of some addresses, those that have not been heard of for so long. */
  public Set<String> unheard(Collection<String> addresses, long nowMillis, long millis) {
    Set<String> silent = new HashSet<>();
    for (String address : addresses) {
      Peer peer = peers.get(address);
      if (peer != null && peer.isSilentFor(nowMillis, millis)) {
        silent.add(address);
      }
    }
    return silent;
  }

  /** The zone in which a node is or last was, as listed or as it said itself; empty if unknown. */
  public Optional<String> zoneOf(String address) {
    Peer peer = peers.get(address);
    return peer == null ? Optional.empty() : peer.zone;
  }

  /** All addresses, listed or not, but this node's own. */
  public Set<String> others() {
    return new HashSet<>(peers.keySet());
  }
}
