package io.umberpath.node.control;

import com.google.common.flogger.FluentLogger;
import io.umberpath.control.ControlInput;
import io.umberpath.control.ControlMessage;
import io.umberpath.control.ControlNode;
import io.umberpath.control.ControlStatus;
import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.node.NodeComponent;
import io.umberpath.node.platform.PlatformReader;
import io.umberpath.transport.Transport;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongFunction;

/**
 * Runs one {@link ControlNode} on a single thread: feeds it peer messages, operator changes,
 * platform documents and ticks, and executes its outputs. If the node throws an exception, its
 * state can no longer be trusted: the runtime stops permanently and notifies its owner.
 * Thread-safe.
 */
public final class ControlRuntime implements ControlService, NodeComponent {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long JOIN_MILLIS = 10_000;

  private final Transport transport;
  private final ControlInbox inbox;
  private final OutputHandler outputs;
  private final ControlLoop loop;
  private final Thread thread;
  private final AtomicLong lastTicket = new AtomicLong();

  /**
   * Creates a runtime; call {@link #start} to run it.
   *
   * @param node the state machine; from now on used only by the control thread
   * @param transport connections to peers; closed with the runtime
   * @param reader reads the platform document when the node requests it; not closed here
   * @param settings queue size
   * @param onFailure called once, on the control thread, if the node fails
   */
  public ControlRuntime(
      ControlNode node,
      Transport transport,
      PlatformReader reader,
      ControlRuntimeSettings settings,
      Runnable onFailure) {
    this.transport = transport;
    this.inbox = new ControlInbox(settings.maxQueuedMessages(), new ReplaceableMessages());
    this.outputs = new OutputHandler(transport, reader, inbox);
    this.loop = new ControlLoop(node, inbox, outputs, onFailure);
    this.thread = new Thread(loop, "umberpath-control");
  }

  @Override
  public void start() throws IOException {
    transport.start(new TransportListener());
    thread.start();
  }

  /**
   * Completes every pending request with its actual outcome, or as unknown, then stops the thread
   * and the transport.
   */
  @Override
  public void close() {
    inbox.close();
    joinThread();
    transport.close();
  }

  private void joinThread() {
    try {
      thread.join(JOIN_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (thread.isAlive()) {
      logger.atSevere().log("The control thread did not stop within %d ms", JOIN_MILLIS);
    }
  }

  @Override
  public CompletionStage<ChangeResult> submit(ChangeSet change, Duration timeout) {
    return submitInput(ticket -> new ControlInput.ChangeSubmitted(ticket, change), timeout);
  }

  @Override
  public CompletionStage<ChangeResult> reform(Set<PeerAddress> acceptedLoss, Duration timeout) {
    Set<PeerAddress> copy = Set.copyOf(acceptedLoss);
    return submitInput(ticket -> new ControlInput.ReformRequested(ticket, copy), timeout);
  }

  private CompletionStage<ChangeResult> submitInput(
      LongFunction<ControlInput> input, Duration timeout) {
    long ticket = lastTicket.incrementAndGet();
    CompletableFuture<ChangeResult> result = new CompletableFuture<>();
    if (!inbox.add(new ControlTask.Change(ticket, input.apply(ticket), result, timeout))) {
      result.complete(ControlLoop.NOT_RUN);
    }
    return result.minimalCompletionStage();
  }

  @Override
  public CompletionStage<List<ControlStatus.NodeView>> fleetView(Duration timeout) {
    long ticket = lastTicket.incrementAndGet();
    CompletableFuture<List<ControlStatus.NodeView>> result = new CompletableFuture<>();
    if (!inbox.add(new ControlTask.FleetView(ticket, result, timeout))) {
      result.complete(List.of());
    }
    return result.minimalCompletionStage();
  }

  @Override
  public ControlStatus status() {
    return loop.status();
  }

  @Override
  public ProxySnapshot snapshot() {
    return outputs.snapshot();
  }

  @Override
  public Map<String, ObservedBackend> observedBackends() {
    return outputs.observed();
  }

  @Override
  public void reportBackend(ObservedBackend backend) {
    inbox.add(new ControlInput.BackendObserved(backend));
  }

  /** Number of peer messages dropped because the inbox was full. */
  public long droppedMessages() {
    return inbox.droppedMessages();
  }

  /** Enqueues messages and connection failures from the transport for the control thread. */
  private final class TransportListener implements Transport.Listener {
    @Override
    public void onMessage(PeerAddress from, ControlMessage message) {
      inbox.addMessage(new ControlInput.MessageReceived(from, message));
    }

    @Override
    public void onUnreachable(PeerAddress peer) {
      inbox.add(new ControlInput.PeerUnreachable(peer));
    }
  }
}
