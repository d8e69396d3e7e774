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
 * The backends that a node considers alive. Within one era of the store these are its entries.
 * After the store has been restored from an older copy, backends that have departed stay departed
 * whatever the copy says, and entries that the copy lacks are retained until their owners must have
 * written them again. Does no I/O and reads no clock; the owner synchronizes access.
 */
public final class BackendListing {
  /**
   * How long entries and evacuations that a restored copy lacks are retained, milliseconds. A live
   * backend that reaches the store rewrites its entry within two seconds of the store's return.
   */
  public static final long RETENTION_MILLIS = 2_000;

  /**
   * How long an entry can exist without being renewed, milliseconds: three heartbeats of 1.5 s plus
   * half a second until the store notices. An entry that outlives this time is being renewed by its
   * backend.
   */
  public static final long UNRENEWED_ENTRY_MILLIS = 5_000;

  /**
   * Number of recent departures sent to a starting node, in addition to those that the store's
   * entries contradict. It covers the departures of the last seconds, which a restored copy may not
   * contain.
   */
  private static final int MAX_SHARED_DEPARTURES = 64;

  private static final long NEVER = Long.MAX_VALUE;

  /**
   * An entry of the store.
   *
   * @param revision store revision at which it was written
   */
  public record StoredEntry(BackendEntry entry, long revision) {}

  /**
   * The contents of the store at one position.
   *
   * @param position position of these contents
   * @param entries its entries
   * @param evacuatedZones zones whose backends must not receive new requests
   */
  public record StoreView(
      StorePosition position, List<StoredEntry> entries, Set<String> evacuatedZones) {}

  /** The backends that a node uses, derived from the store's contents. */
  public record EffectiveListing(List<BackendEntry> entries, Set<String> evacuatedZones) {}

  private final DepartedStarts departed = new DepartedStarts();

  /**
   * For each entry that the store shows as ready although its backend is draining: the same entry
   * marked as draining.
   */
  private Map<BackendEntry, BackendEntry> drainingByEntry = new HashMap<>();

  /** Departures of backends that the store still lists. */
  private final Set<Departed> contradictedDepartures = new LinkedHashSet<>();

  private StorePosition position = StorePosition.UNKNOWN;

  /** Entries up to this revision may come from the restored copy rather than the current era. */
  private long restoredRevision = -1;

  private long eraStartMillis;
  private Set<BackendStart> previouslyAlive = Set.of();
  private EffectiveListing effective = new EffectiveListing(List.of(), Set.of());
  private List<BackendEntry> retainedEntries = List.of();
  private Set<String> retainedZones = Set.of();
  private long nextUpdateMillis = NEVER;

  /** Departures to send to a starting node, which may read only a copy that lacks them. */
  public List<Departed> departuresToShare() {
    Set<Departed> departures = new LinkedHashSet<>(contradictedDepartures);
    departures.addAll(departed.latest(MAX_SHARED_DEPARTURES));
    return List.copyOf(departures);
  }

  /**
   * Adds departures known to another node; the caller must then call {@link #update}.
   *
   * @return whether any of them was unknown
   */
  public boolean addDepartures(long nowMillis, List<Departed> others) {
    boolean hasNew = false;
    for (Departed each : others) {
      hasNew |= departed.add(nowMillis, each);
    }
    return hasNew;
  }

  /**
   * Whether the listing changes by the passage of time alone, so that {@link #update} must be
   * called.
   */
  public boolean isUpdateDue(long nowMillis) {
    return nowMillis >= nextUpdateMillis;
  }

  /** Number of retained entries that the store did not contain when it was restored. */
  public int retainedEntryCount() {
    return retainedEntries.size();
  }

  /**
   * Recomputes the listing from the store's current contents.
   *
   * @param isService tells whether the active configuration refers to a service
   */
  public EffectiveListing update(long nowMillis, StoreView view, Predicate<String> isService) {
    if (view.position().era() != position.era() || !position.isKnown()) {
      beginEra(nowMillis, view.position());
    }
    position = view.position();
    nextUpdateMillis = NEVER;
    contradictedDepartures.clear();
    expireRetained(nowMillis);
    List<StoredEntry> alive = selectAlive(nowMillis, view.entries(), isService);
    recordDepartures(nowMillis, view.entries(), alive);
    List<BackendEntry> entries = new ArrayList<>();
    Map<BackendEntry, BackendEntry> stillDraining = new HashMap<>();
    for (StoredEntry each : alive) {
      resolve(nowMillis, each, stillDraining).ifPresent(entries::add);
    }
    drainingByEntry = stillDraining;
    addRetained(nowMillis, view.entries(), entries);
    Set<String> zones = new HashSet<>(view.evacuatedZones());
    zones.addAll(retainedZones);
    effective = new EffectiveListing(List.copyOf(entries), Set.copyOf(zones));
    return effective;
  }

  private void beginEra(long nowMillis, StorePosition first) {
    boolean isRestored = position.isKnown();
    retainedEntries = isRestored ? effective.entries() : List.of();
    retainedZones = isRestored ? effective.evacuatedZones() : Set.of();
    // Entries missing from the copy may only not have been rewritten yet, so they do not count as
    // departed.
    previouslyAlive = Set.of();
    restoredRevision = first.revision();
    eraStartMillis = nowMillis;
  }

  private void expireRetained(long nowMillis) {
    if (nowMillis >= eraStartMillis + RETENTION_MILLIS) {
      retainedEntries = List.of();
      retainedZones = Set.of();
    } else if (!retainedEntries.isEmpty() || !retainedZones.isEmpty()) {
      nextUpdateMillis = eraStartMillis + RETENTION_MILLIS;
    }
  }

  /**
   * Selects one entry per address. Of two entries at one address only the one written last can
   * belong to a live backend; the other has ended and exists only until its lease expires. An entry
   * for a service that the configuration does not refer to never displaces another entry, nor does
   * the entry of a backend that is known to have ended.
   */
  private List<StoredEntry> selectAlive(
      long nowMillis, List<StoredEntry> listed, Predicate<String> isService) {
    Comparator<StoredEntry> order =
        Comparator.comparing((StoredEntry each) -> isService.test(each.entry().service()))
            .thenComparing(
                each -> !isDeparture(findEffectiveDeparture(nowMillis, each), Departure.ENDED))
            .thenComparingLong(StoredEntry::revision);
    Map<PeerAddress, StoredEntry> byAddress = new HashMap<>();
    for (StoredEntry each : listed) {
      byAddress.merge(each.entry().address(), each, BinaryOperator.maxBy(order));
    }
    return List.copyOf(byAddress.values());
  }

  private static boolean isDeparture(Optional<KnownDeparture> known, Departure departure) {
    return known.isPresent() && known.get().departed().departure() == departure;
  }

  /** The departure that applies to an entry; empty if there is none or the backend has returned. */
  private Optional<KnownDeparture> findEffectiveDeparture(long nowMillis, StoredEntry each) {
    return departed
        .find(each.entry().start())
        .filter(known -> !isWrittenAfter(each, known.departed().position()))
        .filter(known -> !isPresumedRenewed(nowMillis, known));
  }

  /** Whether a backend has written its entry after it was recorded as departed. */
  private boolean isWrittenAfter(StoredEntry each, StorePosition departedAt) {
    long since = departedAt.era() == position.era() ? departedAt.revision() : restoredRevision;
    return each.revision() > since;
  }

  /**
   * Whether the entry of a backend recorded as ended has existed for longer than an entry that is
   * not renewed can.
   */
  private boolean isPresumedRenewed(long nowMillis, KnownDeparture known) {
    return known.departed().departure() == Departure.ENDED
        && nowMillis >= presumedRenewedAtMillis(known);
  }

  private long presumedRenewedAtMillis(KnownDeparture known) {
    return Math.max(known.sinceMillis(), eraStartMillis) + UNRENEWED_ENTRY_MILLIS;
  }

  private void recordDepartures(long nowMillis, List<StoredEntry> listed, List<StoredEntry> alive) {
    Set<BackendStart> aliveNow = new HashSet<>();
    alive.forEach(each -> aliveNow.add(each.entry().start()));
    for (BackendStart before : previouslyAlive) {
      if (!aliveNow.contains(before)) {
        departed.add(nowMillis, new Departed(before, Departure.ENDED, position));
      }
    }
    previouslyAlive = aliveNow;
    for (StoredEntry each : listed) {
      if (each.entry().state() == BackendEntry.State.DRAINING) {
        StorePosition writtenAt = new StorePosition(position.era(), each.revision());
        departed.add(nowMillis, new Departed(each.entry().start(), Departure.LEAVING, writtenAt));
      }
    }
  }

  /** The entry to use for an entry of the store; empty if its backend has ended. */
  private Optional<BackendEntry> resolve(
      long nowMillis, StoredEntry each, Map<BackendEntry, BackendEntry> stillDraining) {
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
    BackendEntry drainingEntry = drainingByEntry.getOrDefault(entry, entry.asDraining());
    stillDraining.put(entry, drainingEntry);
    return Optional.of(drainingEntry);
  }

  /**
   * Adds the retained entries. An entry is no longer retained once the store lists it again, or
   * once another backend uses its address, which means that it has ended.
   */
  private void addRetained(long nowMillis, List<StoredEntry> listed, List<BackendEntry> entries) {
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
