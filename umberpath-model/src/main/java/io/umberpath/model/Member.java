package io.umberpath.model;

/**
 * An acceptor of the replicated register: one incarnation of a node's process.
 *
 * @param slot number that identifies this incarnation in acknowledgement bitmaps; assigned by a
 *     leader, increasing, never reused
 * @param address where the node listens for other nodes
 * @param incarnation distinguishes successive processes at one address; a restarted process is a
 *     new member
 * @param zone failure domain of the machine
 * @param region group of zones
 */
public record Member(int slot, PeerAddress address, long incarnation, String zone, String region) {
  /** Slot of a process that is not in the roster. */
  public static final int NO_SLOT = -1;

  /** Returns a copy with a slot in the roster. */
  public Member withSlot(int newSlot) {
    return new Member(newSlot, address, incarnation, zone, region);
  }

  /** Whether the other member is the same process. */
  public boolean isSameProcess(Member other) {
    return address.equals(other.address) && incarnation == other.incarnation;
  }
}
