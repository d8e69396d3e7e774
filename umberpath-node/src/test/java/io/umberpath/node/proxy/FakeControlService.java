package io.umberpath.node.proxy;

import io.umberpath.control.ControlStatus;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.node.control.ControlService;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A control service whose snapshot and observed backends are set by a test. */
final class FakeControlService implements ControlService {
  final Map<String, ObservedBackend> observed = new ConcurrentHashMap<>();
  final List<ObservedBackend> published = new CopyOnWriteArrayList<>();
  volatile ProxySnapshot snapshot = ProxySnapshot.EMPTY;

  @Override
  public CompletionStage<ChangeResult> submit(ChangeSet change, Duration timeout) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletionStage<List<ControlStatus.NodeView>> fleetView(Duration timeout) {
    throw new UnsupportedOperationException();
  }

  @Override
  public CompletionStage<ChangeResult> reform(Set<PeerAddress> acceptedLoss, Duration timeout) {
    throw new UnsupportedOperationException();
  }

  @Override
  public ControlStatus status() {
    throw new UnsupportedOperationException();
  }

  @Override
  public ProxySnapshot snapshot() {
    return snapshot;
  }

  @Override
  public Map<String, ObservedBackend> observedBackends() {
    return observed;
  }

  @Override
  public void reportBackend(ObservedBackend backend) {
    published.add(backend);
    observed.put(backend.backendId(), backend);
  }
}
