package io.umberpath.traffic.requestid;

import io.umberpath.traffic.requestid.RequestIdMessage.Outcome;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The ids one node remembers. Bounded by time, count and answer bytes; never forgets an id before
 * its retention is over, but refuses new ones. Owner synchronizes.
 */
public final class RequestIdTable {
  /** What the table says of an id. */
  public sealed interface Entry {
    /** Not known, or its only attempts did not run. */
    record Fresh() implements Entry {}

    /**
     * Held by an attempt that has not ended.
     *
     * @param untilMillis from when its outcome counts as unknown
     */
    record InProgress(String token, long untilMillis) implements Entry {}

    /** Its attempt was answered; the answer is empty if it was too large to keep. */
    record Answered(String token, Optional<StoredAnswer> answer) implements Entry {}

    /** Its attempt ended and may have run. */
    record OutcomeUnknown(String token) implements Entry {}

    /** Its attempt did not run; a late claim of that attempt must not hold the id again. */
    record Released(String token) implements Entry {}

    /** Not known, and there is no place to remember it. */
    record Full() implements Entry {}
  }

  private static final Entry FRESH = new Entry.Fresh();
  private static final Entry FULL = new Entry.Full();

  private record Slot(long sinceMillis, Entry entry) {}

  private final RequestIdSettings settings;
  private final Map<RequestIdKey, Slot> slots = new LinkedHashMap<>();
  private long answerBytes;

  /** Creates an empty table. */
  public RequestIdTable(RequestIdSettings settings) {
    this.settings = settings;
  }

  /** What is known of an id. */
  public Entry find(long nowMillis, RequestIdKey key) {
    expire(nowMillis);
    Slot slot = slots.get(key);
    if (slot == null) {
      return FRESH;
    }
    if (slot.entry instanceof Entry.InProgress held && nowMillis > held.untilMillis()) {
      return new Entry.OutcomeUnknown(held.token());
    }
    return slot.entry;
  }

  /**
   * Lets an attempt hold a free id. Asking again with the same token changes nothing and succeeds,
   * so that a lost reply is no refusal.
   *
   * @param leaseMillis time after which the attempt's outcome counts as unknown unless settled
   * @return {@code InProgress} with the token if it holds the id now, else why not
   */
  public Entry claim(long nowMillis, RequestIdKey key, String token, long leaseMillis) {
    Entry known = find(nowMillis, key);
    boolean releasedByOther =
        known instanceof Entry.Released released && !released.token().equals(token);
    if (!(known instanceof Entry.Fresh) && !releasedByOther) {
      return known;
    }
    if (known instanceof Entry.Fresh && slots.size() >= settings.maxIds()) {
      return FULL;
    }
    long lease = Math.max(0, Math.min(leaseMillis, settings.retentionMillis()));
    Entry held = new Entry.InProgress(token, nowMillis + lease);
    put(nowMillis, key, held);
    return held;
  }

  /**
   * Records how an attempt ended. Only an attempt that held a quorum can have run, so its outcome
   * replaces what any other attempt left here; that it did not run matters only where it holds.
   */
  public void settle(
      long nowMillis,
      RequestIdKey key,
      String token,
      Outcome outcome,
      Optional<StoredAnswer> answer) {
    Entry known = find(nowMillis, key);
    if (known instanceof Entry.Answered
        || (outcome == Outcome.NOT_RUN && !mayRelease(known, token))) {
      return;
    }
    Slot slot = slots.get(key);
    if (slot == null && slots.size() >= settings.maxIds()) {
      return;
    }
    // Replacing a value keeps the order of the map: retention counts from the claim.
    long since = slot == null ? nowMillis : slot.sinceMillis;
    slots.put(key, new Slot(since, ended(token, outcome, answer)));
  }

  private static boolean mayRelease(Entry known, String token) {
    if (known instanceof Entry.InProgress held) {
      return held.token().equals(token);
    }
    if (known instanceof Entry.OutcomeUnknown unknown) {
      return unknown.token().equals(token);
    }
    return known instanceof Entry.Fresh;
  }

  /** Ids remembered. */
  public int size() {
    return slots.size();
  }

  private Entry ended(String token, Outcome outcome, Optional<StoredAnswer> answer) {
    return switch (outcome) {
      case ANSWERED -> new Entry.Answered(token, answer.filter(this::takePlace));
      case UNKNOWN -> new Entry.OutcomeUnknown(token);
      case NOT_RUN -> new Entry.Released(token);
    };
  }

  private boolean takePlace(StoredAnswer answer) {
    int bytes = answer.body().length;
    boolean fits =
        bytes <= settings.maxAnswerBytes() && answerBytes + bytes <= settings.maxTotalAnswerBytes();
    answerBytes += fits ? bytes : 0;
    return fits;
  }

  private void put(long nowMillis, RequestIdKey key, Entry entry) {
    slots.remove(key);
    slots.put(key, new Slot(nowMillis, entry));
  }

  private void expire(long nowMillis) {
    Iterator<Slot> oldestFirst = slots.values().iterator();
    while (oldestFirst.hasNext()) {
      Slot slot = oldestFirst.next();
      if (nowMillis - slot.sinceMillis <= settings.retentionMillis()) {
        return;
      }
      if (slot.entry instanceof Entry.Answered answered) {
        answerBytes -= answered.answer().map(answer -> answer.body().length).orElse(0);
      }
      oldestFirst.remove();
    }
  }
}
