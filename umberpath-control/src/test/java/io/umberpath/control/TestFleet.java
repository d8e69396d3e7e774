package io.umberpath.control;

import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.Member;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.Pool;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.model.Resource;
import io.umberpath.model.ResourceKey;
import io.umberpath.model.Tier;
import io.umberpath.model.Version;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.BooleanSupplier;

/**
 * A small fleet on a virtual clock and a seeded network that loses, delays and duplicates messages.
 */
final class TestFleet {
  static final long HEARTBEAT_MILLIS = 200;
  static final long STALL_MILLIS = 800;
  static final long ELECTION_MILLIS = 1_000;

  final Map<PeerAddress, Process> processes = new LinkedHashMap<>();
  final Map<Long, ChangeResult> changeResults = new HashMap<>();
  final List<String> notices = new ArrayList<>();
  final List<String> violations = new ArrayList<>();
  long nowMillis = 1_000;
  double lossProbability;
  double duplicationProbability;
  long maxDelayMillis = 5;
  int maxConcurrentReaders;
  Optional<SeededFault> fault = Optional.empty();
  ControlSettings.QuorumRule quorum = ControlSettings.QuorumRule.MAJORITY;
  int initialMembers;
  int rememberedChanges = 1_000;
  int maxQueuedChanges = 100;
  int maxChildren = 8;
  int maxReaders = 2;
  long batchWindowMillis = 10;
  BiPredicate<PeerAddress, PeerAddress> isCut = (from, to) -> false;
  PlatformDocument platformDocument = PlatformDocument.NONE;
  BiPredicate<PeerAddress, PlatformDocument> platformReachable = (reader, document) -> true;
  long sentMessages;
  final Set<Version> committed = new HashSet<>();
  BiConsumer<Long, String> trace = (time, text) -> {};
  private final SplittableRandom random;
  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private final SharedStateCache shared = new SharedStateCache(64);
  private final Map<Version, Long> contentByVersion = new HashMap<>();
  private final int zones;
  private final int size;
  private long sequence;
  private long lastIncarnation = 1_000;
  private long lastTicket;

  TestFleet(long seed, int size, int zones) {
    this.random = new SplittableRandom(seed);
    this.size = size;
    this.zones = zones;
    this.initialMembers = size;
  }

  /** One running process; a restart at the same address creates a new one. */
  final class Process {
    final Member member;
    final ControlNode node;
    Version active = Version.NONE;
    long revision;
    ProxySnapshot snapshot = ProxySnapshot.EMPTY;
    boolean isAlive = true;
    boolean isPaused;
    final List<Long> tickets = new ArrayList<>();
    final Map<String, ObservedBackend> observed = new HashMap<>();

    Process(Member member, ControlNode node) {
      this.member = member;
      this.node = node;
    }

    PeerAddress address() {
      return member.address();
    }

    ControlStatus status() {
      return node.status();
    }

    /** Tickets of this process without a result. */
    List<Long> pending() {
      return tickets.stream().filter(ticket -> !changeResults.containsKey(ticket)).toList();
    }

    void input(ControlInput input) {
      if (isAlive) {
        List<ControlOutput> outputs = node.handle(nowMillis, input);
        committed.add(node.status().committed().version());
        outputs.forEach(output -> onOutput(this, output));
        schedule();
      }
    }

    private void schedule() {
      long wakeAt = node.nextWakeMillis();
      if (wakeAt != Long.MAX_VALUE) {
        runAt(Math.max(wakeAt, nowMillis), () -> wake());
      }
    }

    private void wake() {
      if (isPaused) {
        return;
      }
      if (isAlive && node.nextWakeMillis() <= nowMillis) {
        input(new ControlInput.Tick());
      }
    }
  }

  private record Event(long timeMillis, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return timeMillis != other.timeMillis
          ? Long.compare(timeMillis, other.timeMillis)
          : Long.compare(order, other.order);
    }
  }

  void runAt(long time, Runnable action) {
    events.add(new Event(time, sequence++, action));
  }

  PeerAddress address(int index) {
    return new PeerAddress("10.0.0." + (index + 1), 7_000);
  }

  TestFleet startAll() {
    for (int index = 0; index < size; index++) {
      start(index);
    }
    return this;
  }

  Process start(int index) {
    List<PeerAddress> seeds =
        List.of(address(0), address(1), address(2)).subList(0, Math.min(3, size));
    Member member =
        new Member(
            Member.NO_SLOT, address(index), ++lastIncarnation, "z" + index % zones, "region");
    ControlSettings settings =
        new ControlSettings(
            member,
            seeds,
            initialMembers,
            quorum,
            batchWindowMillis,
            HEARTBEAT_MILLIS,
            STALL_MILLIS,
            ELECTION_MILLIS,
            3,
            maxChildren,
            maxReaders,
            500,
            maxQueuedChanges,
            rememberedChanges);
    ControlNode node =
        fault
            .map(seeded -> ControlNodes.createWithFault(settings, shared, seeded))
            .orElseGet(() -> ControlNodes.create(settings, shared));
    Process process = new Process(member, node);
    processes.put(address(index), process);
    runAt(nowMillis + random.nextInt(50), () -> process.input(new ControlInput.Tick()));
    return process;
  }

  Process process(int index) {
    return processes.get(address(index));
  }

  void kill(int index) {
    Process process = process(index);
    process.isAlive = false;
    for (Process other : List.copyOf(processes.values())) {
      if (other.isAlive && random.nextBoolean()) {
        runAt(
            nowMillis + random.nextInt(100),
            () -> other.input(new ControlInput.PeerUnreachable(process.address())));
      }
    }
  }

  void restart(int index) {
    kill(index);
    start(index);
  }

  void pause(int index) {
    process(index).isPaused = true;
  }

  void resume(int index) {
    Process process = process(index);
    process.isPaused = false;
    process.wake();
    process.schedule();
  }

  private void onOutput(Process from, ControlOutput output) {
    if (output instanceof ControlOutput.Send send) {
      send(from, send);
    } else if (output instanceof ControlOutput.Activate activate) {
      onActivation(from, activate.snapshot());
    } else if (output instanceof ControlOutput.ChangeAnswered answered) {
      trace.accept(nowMillis, from.address() + " " + answered);
      if (changeResults.put(answered.ticket(), answered.result()) != null) {
        violations.add("ticket " + answered.ticket() + " answered twice");
      }
    } else if (output instanceof ControlOutput.Notice notice) {
      notices.add(nowMillis + " " + from.address() + " " + notice.event() + ": " + notice.detail());
    } else if (output instanceof ControlOutput.ObservedUpdated updated) {
      updated.backends().forEach(each -> from.observed.put(each.backendId(), each));
    } else if (output instanceof ControlOutput.ReadPlatform) {
      read(from);
    }
  }

  private void read(Process reader) {
    long readers =
        processes.values().stream()
            .filter(each -> each.isAlive && !each.isPaused && isReader(each))
            .count();
    trace.accept(nowMillis, reader.address() + " reads as one of " + readers);
    maxConcurrentReaders = Math.max(maxConcurrentReaders, (int) readers);
    PlatformDocument document = platformDocument;
    boolean reachable = platformReachable.test(reader.address(), document);
    runAt(
        nowMillis + 5,
        () ->
            reader.input(
                reachable
                    ? new ControlInput.DocumentRead(document)
                    : new ControlInput.DocumentReadFailed("unreachable")));
  }

  private static boolean isReader(Process process) {
    return process.status().reader();
  }

  private void send(Process from, ControlOutput.Send send) {
    sentMessages++;
    trace.accept(nowMillis, from.address() + " -> " + send.to() + " " + send.message());
    int copies = random.nextDouble() < duplicationProbability ? 2 : 1;
    for (int copy = 0; copy < copies; copy++) {
      if (random.nextDouble() >= lossProbability) {
        long delay = 1 + random.nextLong(maxDelayMillis);
        runAt(nowMillis + delay, () -> deliver(from.address(), send));
      }
    }
  }

  private void deliver(PeerAddress from, ControlOutput.Send send) {
    Process to = processes.get(send.to());
    if (to == null || !to.isAlive || isCut.test(from, send.to())) {
      return;
    }
    if (to.isPaused) {
      runAt(nowMillis + 10, () -> deliver(from, send));
      return;
    }
    to.input(new ControlInput.MessageReceived(from, send.message()));
  }

  private void onActivation(Process process, ProxySnapshot snapshot) {
    if (process.active.isAfter(snapshot.version()) || process.revision > snapshot.revision()) {
      violations.add(nowMillis + " " + process.address() + " went back to " + snapshot.version());
    }
    if (!committed.contains(snapshot.version())) {
      violations.add(
          nowMillis + " " + process.address() + " runs uncommitted " + snapshot.version());
    }
    process.active = snapshot.version();
    process.revision = snapshot.revision();
    process.snapshot = snapshot;
    long content = snapshot.pools().hashCode() + 31L * snapshot.routes().hashCode();
    long revision = snapshot.revision();
    Long known = contentByVersion.putIfAbsent(snapshot.version(), content);
    if (known != null && known != content && revision == 0) {
      violations.add("two values for " + snapshot.version());
    }
  }

  /** Advances the virtual clock by the given time. */
  void run(long durationMillis) {
    long end = nowMillis + durationMillis;
    while (!events.isEmpty() && events.peek().timeMillis() <= end) {
      Event event = events.poll();
      nowMillis = Math.max(nowMillis, event.timeMillis());
      event.action().run();
    }
    nowMillis = end;
  }

  /**
   * Runs until the condition holds; returns the elapsed time, or -1 if the limit is reached first.
   */
  long runUntil(long limitMillis, BooleanSupplier condition) {
    long start = nowMillis;
    while (nowMillis - start < limitMillis) {
      if (condition.getAsBoolean()) {
        return nowMillis - start;
      }
      run(10);
    }
    return condition.getAsBoolean() ? nowMillis - start : -1;
  }

  List<Process> liveProcesses() {
    return processes.values().stream().filter(process -> process.isAlive).toList();
  }

  Optional<Process> leader() {
    return liveProcesses().stream()
        .filter(process -> process.status().role() == ControlStatus.Role.LEADER)
        .max((a, b) -> Long.compare(a.status().epoch(), b.status().epoch()));
  }

  /** Whether every live process is a member of one committed state and runs that state. */
  boolean hasConverged() {
    Optional<Process> leader = leader();
    if (leader.isEmpty()) {
      return false;
    }
    Version version = leader.get().status().committed().version();
    int members = leader.get().status().committed().roster().size();
    return members >= liveProcesses().size()
        && liveProcesses().stream()
            .allMatch(
                process -> process.active.equals(version) && process.status().self().slot() >= 0);
  }

  long submit(Process process, ChangeSet change) {
    long ticket = ++lastTicket;
    process.tickets.add(ticket);
    process.input(new ControlInput.ChangeSubmitted(ticket, change));
    return ticket;
  }

  static ChangeSet poolChange(String id, String name) {
    return poolChange(id, name, 1);
  }

  static ChangeSet poolChange(String id, String name, int slots) {
    return change(
        id, List.of(new Pool(name, "t1", Tier.STANDARD, "booking", slots, 10)), List.of());
  }

  static ChangeSet change(String id, List<Resource> upserts, List<ResourceKey> deletes) {
    return new ChangeSet(id, "t1", Tier.STANDARD, Optional.empty(), upserts, deletes, List.of());
  }

  static PlatformDocument document(long revision) {
    TreeMap<String, List<PlatformDocument.BackendAddress>> services = new TreeMap<>();
    services.put(
        "booking",
        List.of(
            new PlatformDocument.BackendAddress("b1", "10.1.0.1", 80, "z0", "10.0.0.1", 7_001)));
    return new PlatformDocument(revision, services, List.of());
  }

  /**
   * Changes that contradict their result: accepted but missing from the newest committed state, or
   * refused but present in it.
   */
  List<String> lostChanges(Map<Long, String> poolByTicket) {
    List<String> lost = new ArrayList<>();
    var resources = leader().orElseThrow().status().committed().resources();
    poolByTicket.forEach(
        (ticket, pool) -> {
          boolean present = resources.keySet().exists(key -> key.name().equals(pool));
          ChangeResult result = changeResults.get(ticket);
          if (result instanceof ChangeResult.Accepted && !present) {
            lost.add(pool + " was accepted and is gone");
          }
          if (result instanceof ChangeResult.Refused && present) {
            lost.add(pool + " was refused and is there");
          }
        });
    return lost;
  }
}
