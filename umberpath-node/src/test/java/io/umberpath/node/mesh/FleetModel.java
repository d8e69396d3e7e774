package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.BackendListing;
import io.umberpath.control.store.StoreItem;
import io.umberpath.control.store.StoreResponse;
import io.umberpath.control.store.StoreWatcher;
import io.umberpath.control.store.StoreWatcher.Step;
import io.umberpath.control.store.StoreWatcherSettings;
import io.umberpath.model.routing.BackendEntry;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * A model of nodes with the production state logic, a store that is restored from older copies, and
 * messages that are late, lost or reordered. Invariants are checked after each step, and {@link
 * #assertConverged} checks that all nodes hold the content of the store.
 */
final class FleetModel {
  private static final StoreWatcherSettings TIMINGS = new StoreWatcherSettings(500, 0, 1, 1);
  private static final String CONFIGURATION = "configuration";
  private static final String DRAINING = "a";
  private static final String REPLACED = "b";
  private static final String REPLACEMENT = "c";
  private static final int READ_ROUNDS = 12;

  /** Shared by all models, with a stopped clock, so that its log line budget covers all of them. */
  private static final MeshEvents EVENTS = new MeshEvents(() -> 0);

  /** A message in flight to a node. */
  private sealed interface Message {
    record FromStore(StoreResponse response) implements Message {}

    record FromPeer(StateTransfer transfer) implements Message {}
  }

  /** One process of a node, from its start to its restart. */
  private final class Node {
    private final MeshState state =
        new MeshState(
            new FakeStoreItemParser(),
            new StoreWatcher("", TIMINGS, () -> 1),
            EVENTS,
            () -> nowMillis);

    private final List<Message> inFlight = new ArrayList<>();
    private long highestVersion = -1;
    private final Set<String> seenDeparted = new HashSet<>();

    Set<String> ready() {
      Set<String> ids = new TreeSet<>();
      state.view().backends().readyBackends("booking").forEach(entry -> ids.add(entry.id()));
      return ids;
    }

    void checkInvariants() {
      MeshView view = state.view();
      assertThat(view.version())
          .as("version within one process")
          .isGreaterThanOrEqualTo(highestVersion);
      highestVersion = view.version();
      for (String id : List.of(DRAINING, REPLACED)) {
        Optional<BackendEntry> entry = view.backends().byId(id);
        boolean isReady = ready().contains(id);
        if (seenDeparted.contains(id)) {
          assertThat(isReady).as("departed backend %s gets requests again", id).isFalse();
        }
        if (entry.filter(each -> each.state() == BackendEntry.State.DRAINING).isPresent()) {
          seenDeparted.add(id);
        }
        if (id.equals(REPLACED) && view.backends().byId(REPLACEMENT).isPresent()) {
          seenDeparted.add(id);
        }
      }
    }
  }

  private final StoreModel store = new StoreModel();
  private final List<Node> nodes = new ArrayList<>();
  private long nowMillis;
  private long acceptedVersion = 1;
  private boolean isDraining;
  private boolean isReplaced;
  private boolean hasReplacementEnded;

  FleetModel(int count) {
    store.put(CONFIGURATION, "booking@1");
    store.put(DRAINING, "80");
    store.put(REPLACED, "81");
    for (int index = 0; index < count; index++) {
      nodes.add(new Node());
    }
    readStoreFullyOnAll();
  }

  int nodeCount() {
    return nodes.size();
  }

  /** The operator writes a newer configuration. */
  void writeConfiguration() {
    acceptedVersion++;
    store.put(CONFIGURATION, "booking@" + acceptedVersion);
  }

  /** One backend starts draining. */
  void drain() {
    isDraining = true;
    putIfDifferent(DRAINING, "80@0@booking@DRAINING");
  }

  /** Another backend ends, and a new one starts at its address. */
  void replace() {
    if (isReplaced) {
      return;
    }
    isReplaced = true;
    store.remove(REPLACED);
    store.put(REPLACEMENT, "81");
  }

  /** The replacement ends too, possibly before its lost entry is rewritten. */
  void endReplacement() {
    hasReplacementEnded = isReplaced;
    if (hasReplacementEnded && store.items().containsKey(REPLACEMENT)) {
      store.remove(REPLACEMENT);
    }
  }

  void restore(int lostChanges) {
    store.restore(lostChanges);
  }

  void forgetHistory() {
    store.forgetHistory();
  }

  /** The operator and the backends rewrite what the store has lost. */
  void rewriteLost() {
    putIfDifferent(CONFIGURATION, "booking@" + acceptedVersion);
    putIfDifferent(DRAINING, isDraining ? "80@0@booking@DRAINING" : "80");
    if (!isReplaced) {
      putIfDifferent(REPLACED, "81");
      return;
    }
    if (store.items().containsKey(REPLACED)) {
      store.remove(REPLACED);
    }
    if (!hasReplacementEnded) {
      putIfDifferent(REPLACEMENT, "81");
    } else if (store.items().containsKey(REPLACEMENT)) {
      store.remove(REPLACEMENT);
    }
  }

  private void putIfDifferent(String key, String value) {
    StoreItem stored = store.items().get(key);
    if (stored == null || !stored.value().equals(value)) {
      store.put(key, value);
    }
  }

  /** A node calls the store; the response is in flight from now on. */
  void callStore(int index) {
    Node node = nodes.get(index);
    synchronized (node.state) {
      Step step = node.state.watcher().nextStep(nowMillis);
      if (step instanceof Step.Call call) {
        node.inFlight.removeIf(Message.FromStore.class::isInstance);
        node.inFlight.add(new Message.FromStore(store.respond(call.call())));
      } else {
        nowMillis++;
      }
    }
  }

  /** A node requests the state of another one; the response is in flight from now on. */
  void requestTransfer(int index, int other) {
    Node node = nodes.get(index);
    TransferRequest request =
        new TransferRequest(node.state.stateRequest(), node.state.view().version(), true);
    node.inFlight.add(new Message.FromPeer(nodes.get(other).state.transferFor(request)));
  }

  /** Delivers the first or the last message in flight to a node. */
  void deliver(int index, boolean isFirst) {
    Node node = nodes.get(index);
    if (node.inFlight.isEmpty()) {
      return;
    }
    Message message = node.inFlight.remove(isFirst ? 0 : node.inFlight.size() - 1);
    if (message instanceof Message.FromPeer fromPeer) {
      if (node.state.adopt(fromPeer.transfer(), "peer") == MeshState.Adoption.PATCH_MISMATCH) {
        throw new AssertionError("a patch did not apply to the held item");
      }
    } else if (message instanceof Message.FromStore fromStore) {
      synchronized (node.state) {
        node.state.watcher().onResponse(nowMillis, fromStore.response());
        if (node.state.watcher().position().isKnown()) {
          node.state.refresh("store");
        }
      }
    }
    node.checkInvariants();
  }

  /** Restarts a node, which then pulls the state of all others before it reads the store. */
  void restart(int index) {
    nodes.set(index, new Node());
    for (int other = 0; other < nodes.size(); other++) {
      if (other != index) {
        requestTransfer(index, other);
        deliver(index, false);
      }
    }
  }

  /** A node calls the store until it has read everything. */
  void readStoreFully(int index) {
    for (int round = 0; round < READ_ROUNDS; round++) {
      callStore(index);
      while (!nodes.get(index).inFlight.isEmpty()) {
        deliver(index, true);
      }
    }
  }

  private void readStoreFullyOnAll() {
    for (int index = 0; index < nodes.size(); index++) {
      readStoreFully(index);
    }
  }

  /** Rewrites what was lost, lets every node read the store, and checks that all have its state. */
  void assertConverged() {
    rewriteLost();
    readStoreFullyOnAll();
    nowMillis += BackendListing.UNRENEWED_ENTRY_MILLIS;
    Set<String> ready = new TreeSet<>();
    if (!hasReplacementEnded) {
      ready.add(isReplaced ? REPLACEMENT : REPLACED);
    }
    if (!isDraining) {
      ready.add(DRAINING);
    }
    for (Node node : nodes) {
      node.state.applyIfDue();
      node.checkInvariants();
      assertThat(node.state.view().position()).isEqualTo(store.position());
      assertThat(node.state.view().version()).isEqualTo(acceptedVersion);
      assertThat(node.ready()).isEqualTo(ready);
    }
  }
}
