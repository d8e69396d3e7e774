package io.umberpath.traffic.requestid;

import io.umberpath.traffic.requestid.RequestIdMessage.Claim;
import io.umberpath.traffic.requestid.RequestIdMessage.Lookup;
import io.umberpath.traffic.requestid.RequestIdMessage.Reply;
import io.umberpath.traffic.requestid.RequestIdMessage.Settle;
import io.umberpath.traffic.requestid.RequestIdMessage.State;
import io.umberpath.traffic.requestid.RequestIdTable.Entry;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One member of registrar groups. Owner synchronizes.
 *
 * <p>It abstains while it cannot know the past: for the retention time after it became a member of
 * a group, as after each start, and while its membership is not confirmed by the fleet.
 */
public final class RequestIdRegistrar {
  private final RequestIdSettings settings;
  private final RequestIdTable table;
  private final Map<String, Long> memberSinceMillis = new HashMap<>();
  private long confirmedMillis;
  private boolean confirmed;

  /** Creates a registrar that remembers nothing and belongs to no group. */
  public RequestIdRegistrar(RequestIdSettings settings) {
    this.settings = settings;
    this.table = new RequestIdTable(settings);
  }

  /**
   * The node's configuration names it a registrar of these pools. Call it at each switch.
   *
   * @param pools all pools whose group it belongs to
   */
  public void memberOf(long nowMillis, Set<String> pools) {
    memberSinceMillis.keySet().retainAll(pools);
    for (String pool : pools) {
      memberSinceMillis.putIfAbsent(pool, nowMillis);
    }
  }

  /** The node heard from the fleet's leader that its configuration is the current one. */
  public void confirmed(long nowMillis) {
    confirmed = true;
    confirmedMillis = nowMillis;
  }

  /** Handles a message to a registrar; a reply is empty for what needs none. */
  public Optional<Reply> handle(long nowMillis, RequestIdMessage message) {
    if (message instanceof Settle settle) {
      table.settle(nowMillis, settle.key(), settle.token(), settle.outcome(), settle.answer());
      return Optional.empty();
    }
    if (message instanceof Claim claim && !abstains(nowMillis, claim.key().pool())) {
      return Optional.of(
          reply(claim, table.claim(nowMillis, claim.key(), claim.token(), claim.leaseMillis())));
    }
    if (message instanceof Claim || message instanceof Lookup) {
      Reply known = reply(message, table.find(nowMillis, message.key()));
      boolean nothing = known.state() == State.FREE || known.state() == State.GRANTED;
      boolean silent = nothing && abstains(nowMillis, message.key().pool());
      return Optional.of(silent ? Reply.of(message, State.ABSTAINED) : known);
    }
    throw new IllegalArgumentException("not a message to a registrar: " + message);
  }

  /** Ids remembered. */
  public int size() {
    return table.size();
  }

  private boolean abstains(long nowMillis, String pool) {
    Long since = memberSinceMillis.get(pool);
    boolean remembers = since != null && nowMillis - since >= settings.retentionMillis();
    boolean fresh = confirmed && nowMillis - confirmedMillis <= settings.freshMillis();
    return !remembers || !fresh;
  }

  private static Reply reply(RequestIdMessage asked, Entry entry) {
    if (entry instanceof Entry.InProgress held) {
      boolean own = held.token().equals(asked.token());
      return new Reply(
          asked.key(),
          asked.token(),
          own ? State.GRANTED : State.HELD,
          Optional.of(held.token()),
          Optional.empty());
    }
    if (entry instanceof Entry.Answered answered) {
      return new Reply(
          asked.key(),
          asked.token(),
          State.ANSWERED,
          Optional.of(answered.token()),
          answered.answer());
    }
    if (entry instanceof Entry.OutcomeUnknown) {
      return Reply.of(asked, State.UNKNOWN);
    }
    return Reply.of(asked, entry instanceof Entry.Full ? State.FULL : State.FREE);
  }
}
