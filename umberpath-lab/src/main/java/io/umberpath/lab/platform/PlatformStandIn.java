package io.umberpath.lab.platform;

import io.umberpath.lab.http.Answers;
import io.umberpath.lab.http.LabHttpServer;
import io.umberpath.model.PlatformDocument;
import io.umberpath.node.platform.PlatformDocumentCodec;
import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/**
 * Serves a platform document by the contract of {@code docs/operations/platform-protocol.md}, with
 * faults on demand. Thread-safe.
 */
public final class PlatformStandIn implements AutoCloseable {
  /** Path of the document. */
  public static final String DOCUMENT_PATH = "/document";

  /** Delay of an answer while {@link PlatformFault#SLOW}, milliseconds. */
  public static final long SLOW_MILLIS = 5_000;

  private final String host;
  private final ReaderCounts counts = new ReaderCounts();
  private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
  private final DocumentHistory history;
  private LabHttpServer server;
  private int port;

  private PlatformStandIn(String host, int port, PlatformDocument document) {
    this.host = host;
    this.port = port;
    this.history = new DocumentHistory(nowMillis(), document);
  }

  /**
   * Starts serving.
   *
   * @param host IP address to listen on
   * @param port port; 0 picks a free one
   * @param document the first document
   * @throws IOException if the port cannot be bound
   */
  public static PlatformStandIn start(String host, int port, PlatformDocument document)
      throws IOException {
    PlatformStandIn standIn = new PlatformStandIn(host, port, document);
    standIn.open();
    return standIn;
  }

  /** URL of the document. */
  public synchronized String url() {
    return "http://" + host + ":" + port + DOCUMENT_PATH;
  }

  /** Publishes a document as it is, also with a revision that does not rise. */
  public synchronized void publish(PlatformDocument document) {
    history.publish(nowMillis(), document);
  }

  /** Publishes a change of the newest document under the next revision, which is returned. */
  public synchronized long change(UnaryOperator<PlatformDocument> edit) {
    PlatformDocument edited = edit.apply(history.newest());
    long revision = history.newest().revision() + 1;
    history.publish(
        nowMillis(), new PlatformDocument(revision, edited.services(), edited.machines()));
    return revision;
  }

  /** Serves machine lists that are this old. */
  public synchronized void lagMachines(long millis) {
    history.setMachineLag(millis);
  }

  /**
   * Switches the fault.
   *
   * @throws IOException if the port cannot be bound again after {@link PlatformFault#DOWN}
   */
  public synchronized void setFault(PlatformFault fault) throws IOException {
    history.setFault(nowMillis(), fault);
    if (fault == PlatformFault.DOWN && server != null) {
      server.close();
      server = null;
    } else if (fault != PlatformFault.DOWN && server == null) {
      open();
    }
  }

  /** How many nodes read. */
  public ReaderReport readers() {
    return counts.report(nowMillis());
  }

  @Override
  public synchronized void close() {
    timer.shutdownNow();
    if (server != null) {
      server.close();
      server = null;
    }
  }

  private void open() throws IOException {
    LabHttpServer opened = LabHttpServer.create(host, port, new DocumentHandler());
    opened.start();
    port = opened.port();
    server = opened;
  }

  private synchronized PlatformFault fault() {
    return history.fault();
  }

  private synchronized byte[] body() {
    byte[] whole = PlatformDocumentCodec.write(history.served(nowMillis()));
    boolean garbled = history.fault() == PlatformFault.GARBLED;
    return garbled ? Arrays.copyOf(whole, whole.length / 2) : whole;
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private final class DocumentHandler extends HttpHandler {
    @Override
    public void service(Request request, Response response) throws IOException {
      if (!DOCUMENT_PATH.equals(request.getRequestURI())) {
        Answers.json(
            response,
            Answers.NOT_FOUND,
            "{\"error\":\"the document is at " + DOCUMENT_PATH + "\"}");
        return;
      }
      counts.begin(nowMillis(), String.valueOf(request.getHeader("User-Agent")));
      request.addAfterServiceListener(served -> counts.end());
      PlatformFault fault = fault();
      if (fault == PlatformFault.SILENT) {
        response.suspend();
      } else if (fault == PlatformFault.SLOW) {
        response.suspend();
        timer.schedule(() -> answerLate(response), SLOW_MILLIS, TimeUnit.MILLISECONDS);
      } else {
        Answers.json(response, Answers.OK, body());
      }
    }

    private void answerLate(Response response) {
      try {
        Answers.json(response, Answers.OK, body());
        response.resume();
      } catch (IOException | IllegalStateException gone) {
        // The reader gave up; nothing is left to answer.
        return;
      }
    }
  }
}
