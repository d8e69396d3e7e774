package io.umberpath.control.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The other nodes that this one exchanges reports with: those that the store lists, each silent
 * after a time of its own, and unlisted ones that report. A pause of this node itself counts for
 * none of them. Owner synchronizes.
 */
public final class KnownPeers {
  private final String self;
  private final long unlistedMillis;
  private final long ownPauseMillis;
  private final Map<String, Long> heardAt = new HashMap<>();
  private final Map<String, Long> unlistedHeardAt = new HashMap<>();
  private Map<String, Long> silentMillis = Map.of();
  private long lastTickMillis = -1;

  /**
   * Creates a set without peers.
   *
   * @param self address of this node, which is never silent
   * @param unlistedMillis how long a node that is not listed counts after its last report
   * @param ownPauseMillis gap between two ticks from which on this node itself stood still
   */
  public KnownPeers(String self, long unlistedMillis, long ownPauseMillis) {
    this.self = self;
    this.unlistedMillis = unlistedMillis;
    this.ownPauseMillis = ownPauseMillis;
  }

  /**
   * The addresses that are listed now; new ones have the whole time to be heard of.
   *
   * @param listed address to the silence after which it counts as out of reach, milliseconds
   */
  public void replace(long nowMillis, Map<String, Long> listed) {
    silentMillis = Map.copyOf(listed);
    for (Map.Entry<String, Long> heard : heardAt.entrySet()) {
      if (!listed.containsKey(heard.getKey())) {
        unlistedHeardAt.put(heard.getKey(), heard.getValue());
      }
    }
    heardAt.keySet().retainAll(listed.keySet());
    for (String address : listed.keySet()) {
      heardAt.putIfAbsent(address, nowMillis);
      unlistedHeardAt.remove(address);
    }
    forgetUnlisted(nowMillis);
  }

  private void forgetUnlisted(long nowMillis) {
    unlistedHeardAt.values().removeIf(heard -> heard + unlistedMillis < nowMillis);
  }

  /** A node was there at a time, as it said itself or as another node heard. */
  public void heard(long atMillis, String address) {
    if (address.equals(self)) {
      return;
    }
    Map<String, Long> where = silentMillis.containsKey(address) ? heardAt : unlistedHeardAt;
    where.merge(address, atMillis, Math::max);
  }

  /** Lets time pass; to be called regularly. */
  public void tick(long nowMillis) {
    long gap = lastTickMillis < 0 ? 0 : nowMillis - lastTickMillis;
    lastTickMillis = nowMillis;
    if (gap > ownPauseMillis) {
      heardAt.replaceAll((address, heard) -> heard + gap);
    }
    forgetUnlisted(nowMillis);
  }

  /** Listed addresses that have been silent for too long. */
  public Set<String> silent(long nowMillis) {
    Set<String> silent = new HashSet<>();
    heardAt.forEach(
        (address, heard) -> {
          if (heard + silentMillis.get(address) < nowMillis && !address.equals(self)) {
            silent.add(address);
          }
        });
    return silent;
  }

  /** Of some addresses, those that have not been heard of for so long. */
  public Set<String> unheard(Collection<String> addresses, long nowMillis, long millis) {
    Set<String> unheard = new HashSet<>();
    for (String address : addresses) {
      Long heard = heardAt.get(address);
      if (heard != null && heard + millis < nowMillis) {
        unheard.add(address);
      }
    }
    return unheard;
  }

  /** All addresses, listed or not, but this node's own. */
  public Set<String> others() {
    Set<String> others = new HashSet<>(heardAt.keySet());
    others.addAll(unlistedHeardAt.keySet());
    others.remove(self);
    return others;
  }
}
