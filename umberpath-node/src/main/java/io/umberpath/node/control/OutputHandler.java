package io.umberpath.node.control;

import com.google.common.flogger.FluentLogger;
import io.umberpath.control.ControlInput;
import io.umberpath.control.ControlOutput;
import io.umberpath.model.ObservedBackend;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.ProxySnapshot;
import io.umberpath.node.logs.LogFields;
import io.umberpath.node.platform.PlatformReader;
import io.umberpath.transport.Transport;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Executes the node's outputs, except results of pending requests. Called by the control thread;
 * {@link #snapshot} and {@link #observed} may be called by any thread.
 */
final class OutputHandler {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Transport transport;
  private final PlatformReader reader;
  private final ControlInbox inbox;
  private final ObservedBackends observed = new ObservedBackends();
  private volatile ProxySnapshot snapshot = ProxySnapshot.EMPTY;

  OutputHandler(Transport transport, PlatformReader reader, ControlInbox inbox) {
    this.transport = transport;
    this.reader = reader;
    this.inbox = inbox;
  }

  /** The active snapshot. */
  ProxySnapshot snapshot() {
    return snapshot;
  }

  /** The latest observation of each backend, by backend id. */
  Map<String, ObservedBackend> observed() {
    return observed.view();
  }

  /**
   * Executes one output.
   *
   * @param document supplies the node's current platform document
   */
  void execute(ControlOutput output, Supplier<PlatformDocument> document) {
    if (output instanceof ControlOutput.Send send) {
      send(send);
    } else if (output instanceof ControlOutput.Disconnect disconnect) {
      transport.disconnect(disconnect.peer());
    } else if (output instanceof ControlOutput.Activate activate) {
      activate(activate.snapshot());
    } else if (output instanceof ControlOutput.ReadPlatform) {
      readPlatform();
    } else if (output instanceof ControlOutput.ObservedUpdated updated) {
      observed.update(updated.backends(), document.get());
    } else if (output instanceof ControlOutput.Notice notice) {
      logger.atInfo().with(LogFields.EVENT, notice.event()).log("%s", notice.detail());
    }
  }

  private void send(ControlOutput.Send send) {
    try {
      transport.send(send.to(), send.message());
    } catch (IllegalArgumentException e) {
      logger.atSevere().withCause(e).log("Failed to encode a message to %s", send.to());
    }
  }

  private void activate(ProxySnapshot next) {
    snapshot = next;
    logger
        .atInfo()
        .with(LogFields.EVENT, "activated")
        .with(LogFields.VERSION, next.version().toString())
        .log("Platform revision %d", next.revision());
  }

  private void readPlatform() {
    reader
        .read()
        .whenComplete(
            (document, failure) ->
                inbox.add(
                    failure == null
                        ? new ControlInput.DocumentRead(document)
                        : new ControlInput.DocumentReadFailed(String.valueOf(failure))));
  }
}
