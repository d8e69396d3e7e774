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
 * Owns one {@link ControlNode}: a single thread feeds it messages, operators' changes, answers of
 * the platform and ticks, and carries out what it asks for. If the node fails with an exception its
 * state can no longer be trusted: the runtime stops for good and tells its owner. Thread-safe.
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
   * Creates a runtime that does nothing yet.
   *
   * @param node the state machine; used by the control thread alone from now on
   * @param transport closed with the runtime
   * @param reader read when the node asks for it; not closed here
   * @param settings sizes
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

  /** Answers every open ticket truthfully, then stops the thread and the transport. */
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
    return change(ticket -> new ControlInput.ChangeSubmitted(ticket, change), timeout);
  }

  @Override
  public CompletionStage<ChangeResult> reform(Set<PeerAddress> acceptedLoss, Duration timeout) {
    Set<PeerAddress> copy = Set.copyOf(acceptedLoss);
    return change(ticket -> new ControlInput.ReformRequested(ticket, copy), timeout);
  }

  private CompletionStage<ChangeResult> change(LongFunction<ControlInput> input, Duration timeout) {
    long ticket = lastTicket.incrementAndGet();
    CompletableFuture<ChangeResult> answer = new CompletableFuture<>();
    if (!inbox.add(new ControlTask.Change(ticket, input.apply(ticket), answer, timeout))) {
      answer.complete(ControlLoop.NOT_RUN);
    }
    return answer.minimalCompletionStage();
  }

  @Override
  public CompletionStage<List<ControlStatus.NodeView>> fleetView(Duration timeout) {
    long ticket = lastTicket.incrementAndGet();
    CompletableFuture<List<ControlStatus.NodeView>> answer = new CompletableFuture<>();
    if (!inbox.add(new ControlTask.FleetView(ticket, answer, timeout))) {
      answer.complete(List.of());
    }
    return answer.minimalCompletionStage();
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
  public Map<String, ObservedBackend> observed() {
    return outputs.observed();
  }

  @Override
  public void observe(ObservedBackend backend) {
    inbox.add(new ControlInput.BackendObserved(backend));
  }

  /** Messages of peers that were dropped because too many waited. */
  public long droppedMessages() {
    return inbox.dropped();
  }

  /** Hands what the transport delivers to the control thread. */
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
