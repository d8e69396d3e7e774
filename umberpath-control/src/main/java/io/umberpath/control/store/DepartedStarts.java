package io.umberpath.control.store;

import io.umberpath.model.routing.BackendStart;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Backend starts (one run of a backend process each) that have announced that they are draining or
 * whose entry has been removed. An older copy of the store may list them as ready again; that does
 * not undo the departure. Bounded; the owner synchronizes access.
 */
public final class DepartedStarts {
  /** Stage of a departure. */
  public enum Departure {
    /** It completes its requests in flight and receives no new ones. */
    LEAVING,
    /** Its entry has been removed, or another backend has its address. */
    ENDED
  }

  /**
   * A recorded departure.
   *
   * @param position store position at which it departed
   */
  public record Departed(BackendStart start, Departure departure, StorePosition position) {}

  /**
   * A departure as this node knows it.
   *
   * @param sinceMillis when this node learned of it, on this node's clock
   */
  public record KnownDeparture(Departed departed, long sinceMillis) {}

  /**
   * Number of latest departures that are remembered: a copy is some seconds old, and a release of a
   * large fleet replaces some hundred backends in that time.
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
   * Records a departure. A backend that has ended never goes back to draining.
   *
   * @return whether this was not known before
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

  /** Removes the departure of a backend that has returned: it has written its entry again since. */
  public void remove(BackendStart start) {
    byStart.remove(start);
  }

  /** The known departure of a backend start; empty if it has not departed. */
  public Optional<KnownDeparture> find(BackendStart start) {
    return Optional.ofNullable(byStart.get(start));
  }

  /** The latest departures, in the order in which this node learned of them. */
  public List<Departed> latest(int count) {
    List<Departed> all = new ArrayList<>();
    byStart.values().forEach(known -> all.add(known.departed()));
    return List.copyOf(all.subList(Math.max(0, all.size() - count), all.size()));
  }
}
