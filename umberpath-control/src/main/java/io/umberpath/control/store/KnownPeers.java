package io.umberpath.control.store;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Which other nodes have been silent for too long. A pause of this node itself counts for none of
 * them. Owner synchronizes.
 */
public final class KnownPeers {
  private final String self;
  private final long silentMillis;
  private final long ownPauseMillis;
  private final Map<String, Long> heardAt = new HashMap<>();
  private long lastTickMillis = -1;

  /**
   * Creates a set without peers.
   *
   * @param self address of this node, which is never silent
   * @param silentMillis silence after which a peer counts as out of reach
   * @param ownPauseMillis gap between two ticks from which on this node itself stood still
   */
  public KnownPeers(String self, long silentMillis, long ownPauseMillis) {
    this.self = self;
    this.silentMillis = silentMillis;
    this.ownPauseMillis = ownPauseMillis;
  }

  /** The addresses there are now; new ones have the whole time to be heard of. */
  public void replace(long nowMillis, Set<String> addresses) {
    heardAt.keySet().retainAll(addresses);
    for (String address : addresses) {
      heardAt.putIfAbsent(address, nowMillis);
    }
  }

  /** Something was heard of a peer. */
  public void heard(long nowMillis, String address) {
    heardAt.computeIfPresent(address, (each, before) -> Math.max(before, nowMillis));
  }

  /** Lets time pass; to be called regularly. */
  public void tick(long nowMillis) {
    long gap = lastTickMillis < 0 ? 0 : nowMillis - lastTickMillis;
    lastTickMillis = nowMillis;
    if (gap > ownPauseMillis) {
      heardAt.replaceAll((address, heard) -> heard + gap);
    }
  }

  /** Addresses that have been silent for too long. */
  public Set<String> silent(long nowMillis) {
    Set<String> silent = new HashSet<>();
    heardAt.forEach(
        (address, heard) -> {
          if (heard + silentMillis < nowMillis && !address.equals(self)) {
            silent.add(address);
          }
        });
    return silent;
  }

  /** All addresses but this node's own. */
  public Set<String> others() {
    Set<String> others = new HashSet<>(heardAt.keySet());
    others.remove(self);
    return others;
  }
}
