package io.umberpath.control;

import io.umberpath.control.ControlMessage.HeldGroup;
import io.umberpath.control.ControlMessage.VoteAnswer;
import io.umberpath.model.FleetState;
import io.umberpath.model.Member;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.Version;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.roaringbitmap.RoaringBitmap;

/** Votes for one request, merged from many responses; a slot that occurs twice counts once. */
final class VoteTally {
  private static final int MAX_HOLDERS = 4;

  private final TreeMap<Version, Holders> byHeld = new TreeMap<>();
  private final TreeMap<PeerAddress, Member> fresh = new TreeMap<>();
  private final RoaringBitmap granted = new RoaringBitmap();
  private long promised;
  private long revision;
  private Version committed = Version.NONE;

  private static final class Holders {
    private final List<PeerAddress> addresses = new ArrayList<>();
    private final RoaringBitmap slots = new RoaringBitmap();
  }

  /** Merges a response; returns whether it contained anything new. */
  boolean add(VoteAnswer answer) {
    int slotsBefore = granted.getCardinality();
    int freshBefore = fresh.size();
    int heldBefore = byHeld.size();
    long promisedBefore = promised;
    long revisionBefore = revision;
    Version committedBefore = committed;
    answer.groups().forEach(this::add);
    answer.fresh().forEach(this::addFresh);
    promised = Math.max(promised, answer.promised());
    revision(answer.revision());
    committed(answer.committed());
    return slotsBefore != granted.getCardinality()
        || freshBefore != fresh.size()
        || heldBefore != byHeld.size()
        || promisedBefore != promised
        || revisionBefore != revision
        || !committedBefore.equals(committed);
  }

  void add(HeldGroup group) {
    Holders holders = byHeld.computeIfAbsent(group.held(), version -> new Holders());
    group.slots().addTo(holders.slots);
    group.slots().addTo(granted);
    if (holders.addresses.size() < MAX_HOLDERS && !holders.addresses.contains(group.holder())) {
      holders.addresses.add(group.holder());
    }
  }

  void addFresh(Member process) {
    fresh.merge(process.address(), process, (a, b) -> a.incarnation() >= b.incarnation() ? a : b);
  }

  /** Highest epoch promised by any process that responded. */
  long promised() {
    return promised;
  }

  void promised(long epoch) {
    promised = Math.max(promised, epoch);
  }

  /** Highest platform revision held by any process that responded. */
  long revision() {
    return revision;
  }

  void revision(long held) {
    revision = Math.max(revision, held);
  }

  /** Newest version that any granting process knows to be committed. */
  Version committed() {
    return committed;
  }

  void committed(Version version) {
    if (version != null && version.isAfter(committed)) {
      committed = version;
    }
  }

  /**
   * Whether the roster of a state decides without the previous one: it is settled or known to be
   * committed.
   */
  boolean isRosterSettled(FleetState state) {
    return !state.changesRoster() || state.version().equals(committed);
  }

  /** Slots that granted their vote; must not be modified. */
  RoaringBitmap granted() {
    return granted;
  }

  /** Processes without a slot that granted their vote, by address. */
  TreeMap<PeerAddress, Member> fresh() {
    return fresh;
  }

  /** Newest version held by any granting process. */
  Version highest() {
    return byHeld.isEmpty() ? Version.NONE : byHeld.lastKey();
  }

  /** A holder of the newest version, a different one for each attempt. */
  Optional<PeerAddress> holderOfHighest(int attempt) {
    if (byHeld.isEmpty()) {
      return Optional.empty();
    }
    List<PeerAddress> addresses = byHeld.lastEntry().getValue().addresses;
    return Optional.of(addresses.get(attempt % addresses.size()));
  }

  /** The merged groups, for a response. */
  List<HeldGroup> groups() {
    List<HeldGroup> groups = new ArrayList<>();
    byHeld.forEach(
        (version, holders) ->
            groups.add(
                new HeldGroup(version, holders.addresses.get(0), SlotSet.copyOf(holders.slots))));
    return groups;
  }
}
