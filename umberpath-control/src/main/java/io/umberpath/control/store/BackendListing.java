package io.umberpath.control.store;

import io.umberpath.control.store.DepartedStarts.Departed;
import io.umberpath.control.store.DepartedStarts.Departure;
import io.umberpath.control.store.DepartedStarts.KnownDeparture;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.routing.BackendEntry;
import io.umberpath.model.routing.BackendStart;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BinaryOperator;
import java.util.function.Predicate;

/**
 * Which back ends a node believes in. Within an era of the store these are its entries. When it
 * comes back from an older copy, starts that have departed stay so whatever the copy says of them,
 * and what the copy does not have yet is kept until it must have been written again. Pure; owner
 * synchronizes.
 */
public final class BackendListing {
  /**
   * How long entries and evacuations are kept that a copy does not have, milliseconds: who lives
   * and reaches the store has written them again two seconds after its return.
   */
  public static final long KEPT_MILLIS = 2_000;

  /**
   * How long an entry stands that nobody renews, milliseconds: three heartbeats of 1.5 s, and half
   * a second until the store has noticed. One that stands for longer is renewed by its back end.
   */
  public static final long UNRENEWED_MILLIS = 5_000;

  /**
   * Departures told to a node that starts, besides those that the store's entries contradict: what
   * departs in the seconds of which a copy may know nothing.
   */
  private static final int MAX_SHARED_DEPARTURES = 64;

  private static final long NEVER = Long.MAX_VALUE;

  /**
   * An entry of the store.
   *
   * @param revision the store's revision when it was written
   */
  public record Listed(BackendEntry entry, long revision) {}

  /**
   * What the store shows.
   *
   * @param at position at which it shows that
   * @param listed its entries
   * @param evacuatedZones zones whose back ends are to get no new work
   */
  public record Shown(StorePosition at, List<Listed> listed, Set<String> evacuatedZones) {}

  /** What a node believes of it. */
  public record Believed(List<BackendEntry> entries, Set<String> evacuatedZones) {}

  private final DepartedStarts departed = new DepartedStarts();

  /** By entries that the store shows as ready: the same, of starts that are known to leave. */
  private Map<BackendEntry, BackendEntry> drainingByEntry = new HashMap<>();

  /** Departures that entries of the store contradict. */
  private final Set<Departed> contradictedDepartures = new LinkedHashSet<>();

  private StorePosition position = StorePosition.NOTHING;

  /** Revision up to which entries may be from the copy, not written in the present era. */
  private long restoredRevision = -1;

  private long eraStartMillis;
  private Set<BackendStart> previouslyAlive = Set.of();
  private Believed effective = new Believed(List.of(), Set.of());
  private List<BackendEntry> retainedEntries = List.of();
  private Set<String> retainedZones = Set.of();
  private long nextUpdateMillis = NEVER;

  /** Departures for a node that starts: it may read only a copy that does not have them. */
  public List<Departed> told() {
    Set<Departed> told = new LinkedHashSet<>(contradictedDepartures);
    told.addAll(departed.latest(MAX_SHARED_DEPARTURES));
    return List.copyOf(told);
  }

  /**
   * Another node knows of these; {@link #update} is to follow.
   *
   * @return whether any of them is news
   */
  public boolean learn(long nowMillis, List<Departed> others) {
    boolean isNews = false;
    for (Departed each : others) {
      isNews |= departed.add(nowMillis, each);
    }
    return isNews;
  }

  /** Whether time alone changes what is believed, so that {@link #update} is due. */
  public boolean isDue(long nowMillis) {
    return nowMillis >= nextUpdateMillis;
  }

  /** How many entries are kept that the store did not show when it came back. */
  public int keptEntries() {
    return retainedEntries.size();
  }

  /**
   * Takes what the store shows now.
   *
   * @param isService whether the configuration in force names a service
   */
  public Believed update(long nowMillis, Shown shown, Predicate<String> isService) {
    if (shown.at().era() != position.era() || !position.isKnown()) {
      beginEra(nowMillis, shown.at());
    }
    position = shown.at();
    nextUpdateMillis = NEVER;
    contradictedDepartures.clear();
    expireRetained(nowMillis);
    List<Listed> alive = selectAlive(nowMillis, shown.listed(), isService);
    recordDepartures(nowMillis, shown.listed(), alive);
    List<BackendEntry> entries = new ArrayList<>();
    Map<BackendEntry, BackendEntry> stillDraining = new HashMap<>();
    for (Listed each : alive) {
      resolve(nowMillis, each, stillDraining).ifPresent(entries::add);
    }
    drainingByEntry = stillDraining;
    addRetained(nowMillis, shown.listed(), entries);
    Set<String> zones = new HashSet<>(shown.evacuatedZones());
    zones.addAll(retainedZones);
    effective = new Believed(List.copyOf(entries), Set.copyOf(zones));
    return effective;
  }

  private void beginEra(long nowMillis, StorePosition first) {
    boolean isRestored = position.isKnown();
    retainedEntries = isRestored ? effective.entries() : List.of();
    retainedZones = isRestored ? effective.evacuatedZones() : Set.of();
    // What the copy does not show was perhaps only not written again yet: it has not departed.
    previouslyAlive = Set.of();
    restoredRevision = first.revision();
    eraStartMillis = nowMillis;
  }

  private void expireRetained(long nowMillis) {
    if (nowMillis >= eraStartMillis + KEPT_MILLIS) {
      retainedEntries = List.of();
      retainedZones = Set.of();
    } else if (!retainedEntries.isEmpty() || !retainedZones.isEmpty()) {
      nextUpdateMillis = eraStartMillis + KEPT_MILLIS;
    }
  }

  /**
   * Of two entries at one address only the one that was written last can be alive: the other one
   * has ended, and its entry only stands until its lease runs out. An entry of a service that the
   * configuration does not name is no back end's, and takes no other one's place; nor does one of a
   * start that is known to have ended.
   */
  private List<Listed> selectAlive(
      long nowMillis, List<Listed> listed, Predicate<String> isService) {
    Comparator<Listed> order =
        Comparator.comparing((Listed each) -> isService.test(each.entry().service()))
            .thenComparing(
                each -> !isDeparture(findEffectiveDeparture(nowMillis, each), Departure.ENDED))
            .thenComparingLong(Listed::revision);
    Map<PeerAddress, Listed> byAddress = new HashMap<>();
    for (Listed each : listed) {
      byAddress.merge(each.entry().address(), each, BinaryOperator.maxBy(order));
    }
    return List.copyOf(byAddress.values());
  }

  private static boolean isDeparture(Optional<KnownDeparture> known, Departure departure) {
    return known.isPresent() && known.get().departed().departure() == departure;
  }

  /** The departure that stands against an entry; empty if there is none, or the start is back. */
  private Optional<KnownDeparture> findEffectiveDeparture(long nowMillis, Listed each) {
    return departed
        .find(each.entry().start())
        .filter(known -> !isWrittenAfter(each, known.departed().at()))
        .filter(known -> !isPresumedRenewed(nowMillis, known));
  }

  /** Whether a back end has written its entry itself after it was taken as departed. */
  private boolean isWrittenAfter(Listed each, StorePosition departedAt) {
    long since = departedAt.era() == position.era() ? departedAt.revision() : restoredRevision;
    return each.revision() > since;
  }

  /** Whether an entry, of a start taken as ended, has stood for longer than nobody renews it. */
  private boolean isPresumedRenewed(long nowMillis, KnownDeparture known) {
    return known.departed().departure() == Departure.ENDED
        && nowMillis >= presumedRenewedAtMillis(known);
  }

  private long presumedRenewedAtMillis(KnownDeparture known) {
    return Math.max(known.sinceMillis(), eraStartMillis) + UNRENEWED_MILLIS;
  }

  private void recordDepartures(long nowMillis, List<Listed> listed, List<Listed> alive) {
    Set<BackendStart> aliveNow = new HashSet<>();
    alive.forEach(each -> aliveNow.add(each.entry().start()));
    for (BackendStart before : previouslyAlive) {
      if (!aliveNow.contains(before)) {
        departed.add(nowMillis, new Departed(before, Departure.ENDED, position));
      }
    }
    previouslyAlive = aliveNow;
    for (Listed each : listed) {
      if (each.entry().state() == BackendEntry.State.DRAINING) {
        StorePosition writtenAt = new StorePosition(position.era(), each.revision());
        departed.add(nowMillis, new Departed(each.entry().start(), Departure.LEAVING, writtenAt));
      }
    }
  }

  /** What is believed of an entry that the store shows; empty if its start has ended. */
  private Optional<BackendEntry> resolve(
      long nowMillis, Listed each, Map<BackendEntry, BackendEntry> stillDraining) {
    BackendEntry entry = each.entry();
    Optional<KnownDeparture> departure = findEffectiveDeparture(nowMillis, each);
    if (departure.isEmpty()) {
      departed.remove(entry.start());
      return Optional.of(entry);
    }
    if (isDeparture(departure, Departure.ENDED)) {
      contradictedDepartures.add(departure.get().departed());
      nextUpdateMillis = Math.min(nextUpdateMillis, presumedRenewedAtMillis(departure.get()));
      return Optional.empty();
    }
    if (entry.state() == BackendEntry.State.DRAINING) {
      return Optional.of(entry);
    }
    contradictedDepartures.add(departure.get().departed());
    BackendEntry drainingEntry = drainingByEntry.getOrDefault(entry, entry.leaving());
    stillDraining.put(entry, drainingEntry);
    return Optional.of(drainingEntry);
  }

  /**
   * Adds the entries that are kept. Those that the store shows again are kept no longer; nor are
   * those whose address is another start's now, which have ended.
   */
  private void addRetained(long nowMillis, List<Listed> listed, List<BackendEntry> entries) {
    Set<PeerAddress> usedAddresses = new HashSet<>();
    entries.forEach(entry -> usedAddresses.add(entry.address()));
    Set<String> listedIds = new HashSet<>();
    listed.forEach(each -> listedIds.add(each.entry().id()));
    List<BackendEntry> stillRetained = new ArrayList<>();
    for (BackendEntry entry : retainedEntries) {
      boolean isListed = listedIds.contains(entry.id());
      if (!isListed && usedAddresses.contains(entry.address())) {
        departed.add(nowMillis, new Departed(entry.start(), Departure.ENDED, position));
      } else if (!isListed && !isDeparture(departed.find(entry.start()), Departure.ENDED)) {
        stillRetained.add(entry);
      }
    }
    retainedEntries = stillRetained;
    entries.addAll(retainedEntries);
  }
}
