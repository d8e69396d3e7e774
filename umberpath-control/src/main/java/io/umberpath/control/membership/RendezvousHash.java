package io.umberpath.control.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing (highest random weight): nodes that know the same members select the same few
 * of them for a task without exchanging messages. When a member joins or leaves, only that member's
 * tasks move.
 */
public final class RendezvousHash {
  /**
   * Multipliers of the MurmurHash3 finalizer (32 bits), which distributes the weak hash of a
   * string.
   */
  private static final int MULTIPLIER_1 = 0x85ebca6b;

  private static final int MULTIPLIER_2 = 0xc2b2ae35;

  private RendezvousHash() {}

  /**
   * The highest-ranked members for a task.
   *
   * @param count maximum number of members
   * @param task name of the task
   */
  public static List<String> select(int count, Collection<String> members, String task) {
    return members.stream().sorted(order(task)).limit(count).toList();
  }

  /** The ranking of members for a task. */
  public static Comparator<String> order(String task) {
    return Comparator.<String>comparingInt(member -> weight(member, task))
        .thenComparing(Comparator.naturalOrder());
  }

  private static int weight(String member, String task) {
    int hash = (member + '/' + task).hashCode();
    hash = (hash ^ (hash >>> 16)) * MULTIPLIER_1;
    hash = (hash ^ (hash >>> 13)) * MULTIPLIER_2;
    return hash ^ (hash >>> 16);
  }
}
