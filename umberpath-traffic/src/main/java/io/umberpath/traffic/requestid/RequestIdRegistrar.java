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
 * <p>It abstains while it cannot know the past: for the retention time after the fleet first
 * confirmed that it is a member of a group, as after each start, and while it has not heard for a
 * while that its configuration is the fleet's current one.
 */
public final class RequestIdRegistrar {
  private static final long NO_CONFIGURATION = -1;

  private final RequestIdSettings settings;
  private final RequestIdTable table;
  private final Map<String, Long> memberSinceMillis = new HashMap<>();
  private Set<String> pools = Set.of();
  private long configuration = NO_CONFIGURATION;
  private long confirmedMillis;
  private boolean confirmed;

  /** Creates a registrar that remembers nothing and belongs to no group. */
  public RequestIdRegistrar(RequestIdSettings settings) {
    this.settings = settings;
    this.table = new RequestIdTable(settings);
  }

  /**
   * The node has taken a configuration. Configurations are numbered one by one: if a number is left
   * out, the node may have been out of its groups meanwhile and counts as a new member.
   *
   * @param number number of the configuration; not above the current one changes nothing
   * @param memberOf all pools whose group it belongs to in it
   */
  public void configured(long number, Set<String> memberOf) {
    if (number <= configuration) {
      return;
    }
    if (number > configuration + 1) {
      memberSinceMillis.clear();
    }
    configuration = number;
    pools = Set.copyOf(memberOf);
    memberSinceMillis.keySet().retainAll(pools);
  }

  /**
   * The fleet's leader, backed by a quorum, said that a configuration is the current one.
   *
   * @param askedMillis when this node asked, not when the answer came: an answer may be late
   * @param number the current configuration; ignored if this node has another
   */
  public void confirmed(long askedMillis, long number) {
    if (number != configuration) {
      return;
    }
    confirmedMillis = confirmed ? Math.max(confirmedMillis, askedMillis) : askedMillis;
    confirmed = true;
    for (String pool : pools) {
      memberSinceMillis.putIfAbsent(pool, askedMillis);
    }
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
