package io.umberpath.control.store;

import io.umberpath.model.routing.BackendStart;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Starts of back ends that have said that they leave, or whose entry has gone. An older copy of the
 * store may list them as ready again; that does not undo it. Bounded; owner synchronizes.
 */
public final class DepartedStarts {
  /** How far a start has departed. */
  public enum Departure {
    /** It finishes what it has, and gets nothing new. */
    LEAVING,
    /** Its entry has gone, or another start has its address. */
    ENDED
  }

  /**
   * A start that has departed.
   *
   * @param at position in the store at which it had
   */
  public record Departed(BackendStart start, Departure departure, StorePosition at) {}

  /**
   * A departure as this node knows it.
   *
   * @param sinceMillis since when, on this node's clock
   */
  public record KnownDeparture(Departed departed, long sinceMillis) {}

  /**
   * Starts remembered, the latest to depart: a copy is some seconds old, and a release of a large
   * fleet replaces some hundred back ends in that time.
   */
  public static final int MAX_STARTS = 1_024;

  private final Map<BackendStart, KnownDeparture> byStart =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<BackendStart, KnownDeparture> eldest) {
          return size() > MAX_STARTS;
        }
      };

  /**
   * A start has departed; one that has ended never counts as merely leaving again.
   *
   * @return whether that is news
   */
  public boolean add(long nowMillis, Departed departed) {
    KnownDeparture before = byStart.get(departed.start());
    if (before != null && before.departed().departure().compareTo(departed.departure()) >= 0) {
      return false;
    }
    byStart.remove(departed.start());
    byStart.put(departed.start(), new KnownDeparture(departed, nowMillis));
    return true;
  }

  /** A start that had departed is there again: its back end has written so since. */
  public void remove(BackendStart start) {
    byStart.remove(start);
  }

  /** What is known of a start's departure; empty if it has not departed. */
  public Optional<KnownDeparture> find(BackendStart start) {
    return Optional.ofNullable(byStart.get(start));
  }

  /** The starts that departed last, in the order in which this node learned it. */
  public List<Departed> latest(int count) {
    List<Departed> all = new ArrayList<>();
    byStart.values().forEach(known -> all.add(known.departed()));
    return List.copyOf(all.subList(Math.max(0, all.size() - count), all.size()));
  }
}
