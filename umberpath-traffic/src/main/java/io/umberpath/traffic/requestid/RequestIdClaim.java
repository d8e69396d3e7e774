package io.umberpath.traffic.requestid;

import io.umberpath.model.Verdict.Reason;
import io.umberpath.traffic.requestid.RequestIdMessage.Claim;
import io.umberpath.traffic.requestid.RequestIdMessage.Lookup;
import io.umberpath.traffic.requestid.RequestIdMessage.Outcome;
import io.umberpath.traffic.requestid.RequestIdMessage.Reply;
import io.umberpath.traffic.requestid.RequestIdMessage.Settle;
import io.umberpath.traffic.requestid.RequestIdMessage.State;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One request with an id at an edge proxy, from its arrival to its outcome. Owner synchronizes.
 *
 * <p>Call {@link #start}, then {@link #replied} for each reply and {@link #tick} at least every
 * {@code pollMillis}, until one output decides. After {@link Decision.Run} the proxy may send the
 * request as often as its attempts firmly did not run; {@link #ended} records the outcome.
 */
public final class RequestIdClaim {
  /** What the owner has to do. */
  public sealed interface Output {
    /** Send a message to a registrar. */
    record Send(String registrar, RequestIdMessage message) implements Output {}

    /** What becomes of the request; comes once. */
    record Decided(Decision decision) implements Output {}
  }

  /** What becomes of a request. */
  public sealed interface Decision {
    /** It may run; nobody else will run it. */
    record Run() implements Decision {}

    /** It ran before; this is its answer. */
    record Replay(StoredAnswer answer) implements Decision {}

    /**
     * It may have run before, and is not run now.
     *
     * @param reason {@code DUPLICATE} if an earlier attempt is known, {@code NOT_READY} if too few
     *     registrars know the past
     */
    record MayHaveRun(Reason reason) implements Decision {}

    /**
     * No attempt of it that has been answered ran, and it is not run now. The caller may send it
     * again under the same id.
     */
    record NotRun(Reason reason) implements Decision {}
  }

  private enum Phase {
    CLAIMING,
    WAITING,
    RUNNING,
    OVER
  }

  private final RequestIdSettings settings;
  private final RequestIdKey key;
  private final String tokenPrefix;
  private final List<String> registrars;
  private final long deadlineMillis;
  private final Map<String, Reply> replies = new HashMap<>();
  private Phase phase = Phase.CLAIMING;
  private int round;
  private long askedMillis;
  private long giveUpSilenceMillis;
  private boolean othersSeen;
  private Optional<Settle> finalSettle = Optional.empty();

  /**
   * Creates a claim.
   *
   * @param tokenPrefix unique in the fleet and over restarts: names this request at this process
   * @param registrars the pool's group
   * @param deadlineMillis when the caller gives up
   */
  public RequestIdClaim(
      RequestIdSettings settings,
      RequestIdKey key,
      String tokenPrefix,
      List<String> registrars,
      long deadlineMillis) {
    this.settings = settings;
    this.key = key;
    this.tokenPrefix = tokenPrefix;
    this.registrars = List.copyOf(registrars);
    this.deadlineMillis = deadlineMillis;
  }

  /** Begins; sends the claim to every registrar. */
  public List<Output> start(long nowMillis) {
    giveUpSilenceMillis = nowMillis + settings.claimMillis();
    List<Output> outputs = new ArrayList<>();
    ask(nowMillis, outputs);
    evaluate(outputs);
    return outputs;
  }

  /** A registrar replied. */
  public List<Output> replied(long nowMillis, String registrar, Reply reply) {
    List<Output> outputs = new ArrayList<>();
    boolean current = reply.token().equals(token());
    boolean decided = phase == Phase.RUNNING || phase == Phase.OVER;
    if (!current || decided) {
      answerLateGrant(registrar, reply, outputs);
      return outputs;
    }
    if (nowMillis >= deadlineMillis) {
      giveUp(outputs);
      return outputs;
    }
    if (phase == Phase.WAITING) {
      answerLateGrant(registrar, reply, outputs);
    }
    replies.put(registrar, reply);
    evaluate(outputs);
    return outputs;
  }

  /** Time has passed: asks again, or gives up at the deadline. */
  public List<Output> tick(long nowMillis) {
    List<Output> outputs = new ArrayList<>();
    if (phase == Phase.RUNNING || phase == Phase.OVER) {
      return outputs;
    }
    boolean silent = !othersSeen && nowMillis >= giveUpSilenceMillis;
    if (silent || nowMillis >= deadlineMillis) {
      giveUp(outputs);
    } else if (nowMillis - askedMillis >= settings.pollMillis()) {
      if (phase == Phase.WAITING && isFree()) {
        beginNextRound(nowMillis);
      }
      ask(nowMillis, outputs);
    }
    return outputs;
  }

  /**
   * The request that was allowed to run has ended; tells every registrar. Ignored otherwise.
   *
   * @param answer the whole answer if it was answered and is small
   */
  public List<Output> ended(Outcome outcome, Optional<StoredAnswer> answer) {
    List<Output> outputs = new ArrayList<>();
    if (phase == Phase.RUNNING) {
      phase = Phase.OVER;
      finalSettle = Optional.of(new Settle(key, token(), outcome, answer));
      settle(outcome, answer, outputs);
    }
    return outputs;
  }

  private String token() {
    return tokenPrefix + "." + round;
  }

  private void ask(long nowMillis, List<Output> outputs) {
    askedMillis = nowMillis;
    replies.values().removeIf(reply -> reply.state() != State.GRANTED);
    RequestIdMessage message =
        phase == Phase.CLAIMING
            ? new Claim(key, token(), deadlineMillis - nowMillis)
            : new Lookup(key, token());
    for (String registrar : registrars) {
      if (!replies.containsKey(registrar)) {
        outputs.add(new Output.Send(registrar, message));
      }
    }
  }

  private void evaluate(List<Output> outputs) {
    for (Reply reply : replies.values()) {
      if (reply.state() == State.ANSWERED && reply.answer().isPresent()) {
        decide(new Decision.Replay(reply.answer().get()), outputs);
        return;
      }
    }
    if (count(State.ANSWERED) + count(State.UNKNOWN) > 0) {
      decide(new Decision.MayHaveRun(Reason.DUPLICATE), outputs);
      return;
    }
    othersSeen |= count(State.HELD) > 0;
    if (phase == Phase.CLAIMING) {
      evaluateClaim(outputs);
    }
  }

  private void evaluateClaim(List<Output> outputs) {
    int granted = count(State.GRANTED);
    int full = count(State.FULL);
    int silent = registrars.size() - replies.size();
    if (granted >= settings.quorum()) {
      phase = Phase.RUNNING;
      outputs.add(new Output.Decided(new Decision.Run()));
    } else if (granted + silent >= settings.quorum()) {
      return;
    } else if (count(State.HELD) > 0) {
      yieldToSmallerToken(outputs);
    } else if (full > 0 && granted + full >= settings.quorum()) {
      decide(new Decision.NotRun(Reason.OVERLOADED), outputs);
    } else if (full > 0 && granted + full + silent >= settings.quorum()) {
      return;
    } else if (!othersSeen) {
      decide(new Decision.MayHaveRun(Reason.NOT_READY), outputs);
    }
  }

  /** Of attempts that block each other the one with the smallest token goes on. */
  private void yieldToSmallerToken(List<Output> outputs) {
    boolean smallest =
        replies.values().stream()
            .filter(reply -> reply.state() == State.HELD)
            .allMatch(reply -> reply.holder().orElse("").compareTo(token()) > 0);
    if (!smallest) {
      settle(Outcome.NOT_RUN, Optional.empty(), outputs);
      replies.clear();
      phase = Phase.WAITING;
    }
  }

  /** Whether a quorum says that nobody holds the id, and none says that somebody does. */
  private boolean isFree() {
    return count(State.FREE) >= settings.quorum() && count(State.HELD) == 0;
  }

  private void beginNextRound(long nowMillis) {
    round++;
    replies.clear();
    phase = Phase.CLAIMING;
    othersSeen = false;
    giveUpSilenceMillis = nowMillis + settings.claimMillis();
  }

  private void giveUp(List<Output> outputs) {
    Reason reason = othersSeen ? Reason.DUPLICATE : Reason.NOT_READY;
    decide(new Decision.MayHaveRun(reason), outputs);
  }

  private void decide(Decision decision, List<Output> outputs) {
    boolean claims = phase == Phase.CLAIMING;
    phase = Phase.OVER;
    if (claims) {
      settle(Outcome.NOT_RUN, Optional.empty(), outputs);
    }
    outputs.add(new Output.Decided(decision));
  }

  private void settle(Outcome outcome, Optional<StoredAnswer> answer, List<Output> outputs) {
    Settle settle = new Settle(key, token(), outcome, answer);
    for (String registrar : registrars) {
      outputs.add(new Output.Send(registrar, settle));
    }
  }

  /**
   * A grant that comes late must not keep the id: tells that registrar how the attempt ended. Only
   * the attempt that ran has another outcome than not run.
   */
  private void answerLateGrant(String registrar, Reply reply, List<Output> outputs) {
    boolean current = reply.token().equals(token());
    if (reply.state() != State.GRANTED || (current && phase == Phase.RUNNING)) {
      return;
    }
    Settle notRun = new Settle(key, reply.token(), Outcome.NOT_RUN, Optional.empty());
    Settle settle = current ? finalSettle.orElse(notRun) : notRun;
    outputs.add(new Output.Send(registrar, settle));
  }

  private int count(State state) {
    int count = 0;
    for (Reply reply : replies.values()) {
      count += reply.state() == state ? 1 : 0;
    }
    return count;
  }
}
