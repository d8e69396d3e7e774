package io.umberpath.traffic.requestid;

import io.umberpath.traffic.requestid.RequestIdClaim.Decision;
import io.umberpath.traffic.requestid.RequestIdClaim.Output;
import io.umberpath.traffic.requestid.RequestIdMessage.Outcome;
import io.umberpath.traffic.requestid.RequestIdMessage.Reply;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;

/** Registrars, edge proxies and a network that loses, repeats and reorders, in virtual time. */
final class RequestIdWorld {
  static final String POOL = "booking";
  static final RequestIdSettings SETTINGS =
      new RequestIdSettings(5, 20_000, 500, 10_000, 64, 10_000, 50, 1_000);

  /** What may go wrong. */
  record Faults(
      double lost,
      double repeated,
      int maxDelayMillis,
      double edgeDies,
      int restarts,
      int switches) {
    static final Faults NONE = new Faults(0, 0, 20, 0, 0, 0);
  }

  private record Event(long atMillis, long number, Runnable action) {}

  /** A node that can be a registrar, with what it believes of the membership. */
  private final class Node {
    private final String name;
    private RequestIdRegistrar registrar;
    private int knownSwitch;

    Node(String name) {
      this.name = name;
      restart();
    }

    void restart() {
      registrar = new RequestIdRegistrar(SETTINGS);
      knownSwitch = -1;
      learn(memberships.size() - 1);
      if (!abstaining || nowMillis == 0) {
        registrar.confirmed(nowMillis - SETTINGS.retentionMillis(), knownSwitch);
      }
    }

    /** Takes each configuration in turn, or leaves some out. */
    void learn(int version) {
      boolean jump = knownSwitch < 0 || random.nextInt(4) == 0;
      for (int next = jump ? version : knownSwitch + 1; next <= version; next++) {
        boolean member = group(next).contains(name);
        registrar.configured(next, member ? Set.of(POOL) : Set.of());
        knownSwitch = Math.max(knownSwitch, next);
        if (!abstaining) {
          registrar.confirmed(nowMillis - SETTINGS.retentionMillis(), next);
        }
      }
    }

    /** The leader's answer confirms only the current configuration. */
    void heartbeat() {
      registrar.confirmed(nowMillis, memberships.size() - 1);
    }
  }

  final Map<String, Integer> runs = new HashMap<>();
  final Map<String, List<Decision>> decisions = new HashMap<>();
  private final Set<String> granted = new HashSet<>();
  private final boolean abstaining;
  private final boolean tokens;
  private final Faults faults;
  private final SplittableRandom random;
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparing(Event::number));
  private final List<TreeSet<String>> memberships = new ArrayList<>();
  private final Map<String, Node> nodes = new HashMap<>();
  private final List<RequestIdClaim> live = new ArrayList<>();
  private long nowMillis;
  private long counter;

  /**
   * Creates a world whose first registrars have been members long enough.
   *
   * @param abstaining whether new registrars abstain; false breaks the protocol on purpose
   */
  RequestIdWorld(long seed, Faults faults, boolean abstaining) {
    this(seed, faults, abstaining, true);
  }

  /**
   * Creates a world whose registrars may ignore tokens.
   *
   * @param tokens whether a registrar grants a claim again to the attempt that holds it
   */
  RequestIdWorld(long seed, Faults faults, boolean abstaining, boolean tokens) {
    this.tokens = tokens;
    this.random = new SplittableRandom(seed);
    this.faults = faults;
    this.abstaining = abstaining;
    memberships.add(new TreeSet<>(List.of("n0", "n1", "n2", "n3", "n4", "n5", "n6")));
    memberships.get(0).forEach(name -> nodes.put(name, new Node(name)));
    nowMillis = SETTINGS.retentionMillis();
    heartbeats();
    ticks();
  }

  private List<String> group(int version) {
    return RegistrarGroup.of(POOL, memberships.get(version), SETTINGS.groupSize());
  }

  void after(long millis, Runnable action) {
    events.add(new Event(nowMillis + millis, counter++, action));
  }

  void run(long millis) {
    long end = nowMillis + millis;
    while (!events.isEmpty() && events.peek().atMillis <= end) {
      Event next = events.poll();
      nowMillis = next.atMillis;
      next.action.run();
    }
    nowMillis = end;
  }

  /** Spreads restarts and switches of the membership over a time. */
  void scheduleFaults(int millis) {
    for (int i = 0; i < faults.restarts; i++) {
      after(random.nextInt(millis), () -> randomNode().restart());
    }
    for (int i = 0; i < faults.switches; i++) {
      after(random.nextInt(millis), this::switchMembership);
    }
  }

  private Node randomNode() {
    List<String> members = List.copyOf(memberships.get(memberships.size() - 1));
    return nodes.get(members.get(random.nextInt(members.size())));
  }

  /** Replaces a member of the group; each node hears of it after a while of its own. */
  private void switchMembership() {
    TreeSet<String> next = new TreeSet<>(memberships.get(memberships.size() - 1));
    List<String> group = group(memberships.size() - 1);
    next.remove(group.get(random.nextInt(group.size())));
    String added = "m" + memberships.size();
    next.add(added);
    memberships.add(next);
    int version = memberships.size() - 1;
    nodes.put(added, new Node(added));
    for (Node node : nodes.values()) {
      after(random.nextInt(2_000), () -> node.learn(version));
    }
  }

  private void heartbeats() {
    nodes.values().forEach(Node::heartbeat);
    after(100, this::heartbeats);
  }

  private void ticks() {
    List.copyOf(live).forEach(claim -> carryOut(claim, claim.tick(nowMillis)));
    after(10, this::ticks);
  }

  private final Map<RequestIdClaim, RequestIdKey> keys = new HashMap<>();

  /** A caller sends a request with an id through some edge proxy, whose view may be old. */
  void request(String id, long timeoutMillis) {
    int view = Math.max(0, memberships.size() - 1 - random.nextInt(2));
    RequestIdKey key = new RequestIdKey(POOL, "tenant", id);
    String token = "e" + random.nextInt(1_000) + "-" + counter++;
    RequestIdClaim claim =
        new RequestIdClaim(SETTINGS, key, token, group(view), nowMillis + timeoutMillis);
    keys.put(claim, key);
    live.add(claim);
    carryOut(claim, claim.start(nowMillis));
  }

  private void carryOut(RequestIdClaim claim, List<Output> outputs) {
    for (Output output : outputs) {
      if (output instanceof Output.Send send) {
        transmit(() -> deliver(claim, send));
      } else if (output instanceof Output.Decided decided) {
        decided(claim, decided.decision());
      }
    }
  }

  private void deliver(RequestIdClaim claim, Output.Send send) {
    Optional<Reply> reply =
        nodes
            .get(send.registrar())
            .registrar
            .handle(nowMillis, send.message())
            .map(known -> withoutToken(send, known));
    reply.ifPresent(
        answer ->
            transmit(() -> carryOut(claim, claim.replied(nowMillis, send.registrar(), answer))));
  }

  /** A register that ignores tokens refuses a claim that it granted before. */
  private Reply withoutToken(Output.Send send, Reply reply) {
    boolean repeated =
        reply.state() == RequestIdMessage.State.GRANTED
            && !granted.add(send.registrar() + reply.token());
    return tokens || !repeated
        ? reply
        : new Reply(
            reply.key(),
            reply.token(),
            RequestIdMessage.State.HELD,
            Optional.of("unknown"),
            Optional.empty());
  }

  private void transmit(Runnable delivery) {
    if (random.nextDouble() < faults.lost) {
      return;
    }
    after(1 + random.nextInt(faults.maxDelayMillis), delivery);
    if (random.nextDouble() < faults.repeated) {
      after(1 + random.nextInt(10 * faults.maxDelayMillis), delivery);
    }
  }

  private void decided(RequestIdClaim claim, Decision decision) {
    String id = keys.get(claim).id();
    decisions.computeIfAbsent(id, absent -> new ArrayList<>()).add(decision);
    if (!(decision instanceof Decision.Run)) {
      return;
    }
    boolean dies = random.nextDouble() < faults.edgeDies;
    double fate = faults == Faults.NONE ? 1 : random.nextDouble();
    if (fate < 0.15) {
      finish(claim, dies, Outcome.NOT_RUN, Optional.empty());
      return;
    }
    int run = runs.merge(id, 1, Integer::sum);
    Outcome outcome = fate < 0.3 ? Outcome.UNKNOWN : Outcome.ANSWERED;
    finish(claim, dies, outcome, Optional.of(answer(id, run)));
  }

  static StoredAnswer answer(String id, int run) {
    return new StoredAnswer(200, "text/plain", (id + " run " + run).getBytes());
  }

  private void finish(
      RequestIdClaim claim, boolean dies, Outcome outcome, Optional<StoredAnswer> answer) {
    if (dies) {
      live.remove(claim);
      return;
    }
    Optional<StoredAnswer> kept = outcome == Outcome.ANSWERED ? answer : Optional.empty();
    after(random.nextInt(300), () -> carryOut(claim, claim.ended(outcome, kept)));
  }
}
