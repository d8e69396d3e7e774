package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.BackendListing;
import io.umberpath.control.store.StoreAnswer;
import io.umberpath.control.store.StoreItem;
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
 * Nodes with the decisions that run in the process, a store that comes back from older copies, and
 * messages that are late, lost or reordered. What must never happen is checked after each step, and
 * that all nodes hold what the store holds after {@link #assertConverged}.
 */
final class FleetModel {
  private static final StoreWatcherSettings TIMINGS = new StoreWatcherSettings(500, 0, 1, 1);
  private static final String CONFIGURATION = "configuration";
  private static final String DRAINING = "a";
  private static final String REPLACED = "b";
  private static final String REPLACEMENT = "c";
  private static final int SETTLING_ROUNDS = 12;

  /** Of all models, on a clock that stands, so that the bounds of its lines hold over all. */
  private static final MeshEvents EVENTS = new MeshEvents(() -> 0);

  /** What is on its way to a node. */
  private sealed interface Message {
    record FromStore(StoreAnswer answer) implements Message {}

    record FromPeer(StateTransfer transfer) implements Message {}
  }

  /** One life of a node. */
  private final class Node {
    private final MeshState state =
        new MeshState(
            new FakeStoreDocuments(),
            new StoreWatcher("", TIMINGS, () -> 1),
            EVENTS,
            () -> nowMillis);

    private final List<Message> inFlight = new ArrayList<>();
    private long highestVersion = -1;
    private final Set<String> seenDeparted = new HashSet<>();

    Set<String> ready() {
      Set<String> ids = new TreeSet<>();
      state.view().backends().ready("booking").forEach(entry -> ids.add(entry.id()));
      return ids;
    }

    void checkInvariants() {
      MeshView view = state.view();
      assertThat(view.version()).as("version in a life").isGreaterThanOrEqualTo(highestVersion);
      highestVersion = view.version();
      for (String id : List.of(DRAINING, REPLACED)) {
        Optional<BackendEntry> entry = view.backends().byId(id);
        boolean isReady = ready().contains(id);
        if (seenDeparted.contains(id)) {
          assertThat(isReady).as("%s takes work again", id).isFalse();
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

  /** One back end says that it leaves. */
  void drain() {
    isDraining = true;
    putIfDifferent(DRAINING, "80@0@booking@DRAINING");
  }

  /** Another one ends, and its address goes to a back end that starts. */
  void replace() {
    if (isReplaced) {
      return;
    }
    isReplaced = true;
    store.remove(REPLACED);
    store.put(REPLACEMENT, "81");
  }

  /** The back end at the address used again ends too, perhaps before it is written again. */
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

  /** The operator and the back ends write what the store has lost. */
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

  /** A node calls the store, whose answer is on its way from now on. */
  void callStore(int index) {
    Node node = nodes.get(index);
    synchronized (node.state) {
      Step step = node.state.watcher().next(nowMillis);
      if (step instanceof Step.Call call) {
        node.inFlight.removeIf(Message.FromStore.class::isInstance);
        node.inFlight.add(new Message.FromStore(store.answer(call.call())));
      } else {
        nowMillis++;
      }
    }
  }

  /** A node asks another one, whose answer is on its way from now on. */
  void requestTransfer(int index, int other) {
    Node node = nodes.get(index);
    TransferRequest request =
        new TransferRequest(node.state.stateRequest(), node.state.view().version(), true);
    node.inFlight.add(new Message.FromPeer(nodes.get(other).state.transferFor(request)));
  }

  /** The first or the last message on its way to a node arrives. */
  void deliver(int index, boolean isFirst) {
    Node node = nodes.get(index);
    if (node.inFlight.isEmpty()) {
      return;
    }
    Message message = node.inFlight.remove(isFirst ? 0 : node.inFlight.size() - 1);
    if (message instanceof Message.FromPeer fromPeer) {
      if (node.state.adopt(fromPeer.transfer(), "peer") == MeshState.Adoption.PATCH_MISMATCH) {
        throw new AssertionError("a patch was made from other content");
      }
    } else if (message instanceof Message.FromStore fromStore) {
      synchronized (node.state) {
        node.state.watcher().answered(nowMillis, fromStore.answer());
        if (node.state.watcher().at().isKnown()) {
          node.state.refresh("store");
        }
      }
    }
    node.checkInvariants();
  }

  /** A node's process ends and another one begins, which asks the others before it reads. */
  void restart(int index) {
    nodes.set(index, new Node());
    for (int other = 0; other < nodes.size(); other++) {
      if (other != index) {
        requestTransfer(index, other);
        deliver(index, false);
      }
    }
  }

  /** A node calls the store until it has read all that there is. */
  void readStoreFully(int index) {
    for (int round = 0; round < SETTLING_ROUNDS; round++) {
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

  /** All is written again and every node reaches the store: all hold the same, and what is true. */
  void assertConverged() {
    rewriteLost();
    readStoreFullyOnAll();
    nowMillis += BackendListing.UNRENEWED_MILLIS;
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
