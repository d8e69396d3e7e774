package io.umberpath.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The acceptors of one agreed state, in slot order. Immutable. */
public final class Roster {
  /** The empty roster of a fleet that has not formed. */
  public static final Roster EMPTY = new Roster(List.of());

  private final List<Member> members;
  private final Map<PeerAddress, Member> byAddress = new HashMap<>();
  private final Map<Integer, Member> bySlot = new HashMap<>();

  /** Creates a roster; members may come in any order, slots and addresses must be unique. */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public Roster(List<Member> members) {
    List<Member> sorted = new ArrayList<>(members);
    sorted.sort(Comparator.comparingInt(Member::slot));
    this.members = List.copyOf(sorted);
    for (Member member : sorted) {
      if (byAddress.put(member.address(), member) != null
          || bySlot.put(member.slot(), member) != null) {
        throw new IllegalArgumentException("duplicate roster member " + member);
      }
    }
  }

  /** Members in slot order. */
  @JsonValue
  public List<Member> members() {
    return members;
  }

  /** Number of members. */
  public int size() {
    return members.size();
  }

  /** The member at an address, if any. */
  public Optional<Member> at(PeerAddress address) {
    return Optional.ofNullable(byAddress.get(address));
  }

  /** The member with a slot, if any. */
  public Optional<Member> withSlot(int slot) {
    return Optional.ofNullable(bySlot.get(slot));
  }

  /** Whether exactly this process (address, incarnation and slot) is a member. */
  public boolean contains(Member member) {
    return member.equals(bySlot.get(member.slot()));
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Roster that && members.equals(that.members);
  }

  @Override
  public int hashCode() {
    return members.hashCode();
  }

  @Override
  public String toString() {
    return "Roster" + members;
  }
}
