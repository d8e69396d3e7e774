package io.umberpath.control;

import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.Tier;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A leader's queued changes, one bounded queue per tier.
 *
 * <p>A batch holds at most {@value #MAX_BATCH} changes. Of these, up to {@value
 * #RESERVED_FOR_BASIC} places are reserved for queued BASIC changes and up to {@value
 * #RESERVED_FOR_STANDARD} for queued STANDARD changes; all other places go to the highest tier with
 * queued changes. The n-th queued BASIC change is therefore proposed no later than in batch n /
 * {@value #RESERVED_FOR_BASIC}, rounded up, regardless of the number of PREMIUM changes.
 */
final class ChangeQueue {
  static final int MAX_BATCH = 64;
  static final int RESERVED_FOR_STANDARD = 12;
  static final int RESERVED_FOR_BASIC = 4;

  private final int capacity;
  private final Map<Tier, ArrayDeque<Entry>> byTier = new EnumMap<>(Tier.class);
  private long firstQueuedAt = Long.MAX_VALUE;

  /**
   * A queued change.
   *
   * @param change the change
   * @param onProposed called when the change becomes part of a proposal and may therefore take
   *     effect
   * @param onResult called once with the result
   */
  record Entry(ChangeSet change, Runnable onProposed, Consumer<ChangeResult> onResult) {}

  ChangeQueue(int capacity) {
    this.capacity = capacity;
    for (Tier tier : Tier.values()) {
      byTier.put(tier, new ArrayDeque<>());
    }
  }

  /** Queues a change; returns false if the queue of its tier is full. */
  boolean offer(Entry entry, long now) {
    ArrayDeque<Entry> queue = byTier.get(entry.change().tier());
    if (queue.size() >= capacity) {
      return false;
    }
    queue.add(entry);
    firstQueuedAt = Math.min(firstQueuedAt, now);
    return true;
  }

  boolean isEmpty() {
    return firstQueuedAt == Long.MAX_VALUE;
  }

  /** When the oldest queued batch started waiting; {@link Long#MAX_VALUE} if the queue is empty. */
  long firstQueuedAt() {
    return firstQueuedAt;
  }

  /** Removes a change that was not proposed yet; returns whether it was queued. */
  boolean remove(Entry entry) {
    boolean removed = byTier.get(entry.change().tier()).remove(entry);
    updateFirstQueuedAt(firstQueuedAt);
    return removed;
  }

  /** Removes the next batch, highest tier first. */
  List<Entry> takeBatch(long now) {
    int basic = Math.min(RESERVED_FOR_BASIC, byTier.get(Tier.BASIC).size());
    int standard = Math.min(RESERVED_FOR_STANDARD, byTier.get(Tier.STANDARD).size());
    List<Entry> batch = new ArrayList<>();
    move(Tier.PREMIUM, MAX_BATCH - basic - standard, batch);
    move(Tier.STANDARD, MAX_BATCH - basic - batch.size(), batch);
    move(Tier.BASIC, MAX_BATCH - batch.size(), batch);
    updateFirstQueuedAt(now);
    return batch;
  }

  private void move(Tier tier, int count, List<Entry> batch) {
    ArrayDeque<Entry> queue = byTier.get(tier);
    for (int taken = 0; taken < count && !queue.isEmpty(); taken++) {
      batch.add(queue.poll());
    }
  }

  private void updateFirstQueuedAt(long waitingSince) {
    boolean empty = byTier.values().stream().allMatch(ArrayDeque::isEmpty);
    firstQueuedAt = empty ? Long.MAX_VALUE : waitingSince;
  }

  /** Removes all queued changes; none of them was proposed. */
  void clear() {
    byTier.values().forEach(ArrayDeque::clear);
    firstQueuedAt = Long.MAX_VALUE;
  }
}
