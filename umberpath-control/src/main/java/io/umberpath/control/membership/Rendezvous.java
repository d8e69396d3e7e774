package io.umberpath.control.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Highest random weight hashing (rendezvous hashing): nodes that know the same members choose the
 * same few of them for a task without a message about it. When a member comes or goes, only tasks
 * of that member change hands.
 */
public final class Rendezvous {
  /** Finalizer of MurmurHash3 (32 bits), which spreads the weak hash of a string. */
  private static final int MULTIPLIER_1 = 0x85ebca6b;

  private static final int MULTIPLIER_2 = 0xc2b2ae35;

  private Rendezvous() {}

  /**
   * The members that come first for a task.
   *
   * @param count how many at most
   * @param task name of the task
   */
  public static List<String> first(int count, Collection<String> members, String task) {
    return members.stream().sorted(order(task)).limit(count).toList();
  }

  /** The order of members for a task. */
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
