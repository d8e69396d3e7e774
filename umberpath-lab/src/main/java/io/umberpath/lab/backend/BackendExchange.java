package io.umberpath.lab.backend;

import io.umberpath.lab.http.Answers;
import io.umberpath.lab.workload.RequestKind;
import io.umberpath.lab.workload.WholeAnswer;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/** One request's life: wait for a slot, read the body, run, answer. Ends exactly once. */
final class BackendExchange {
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int RETRY_AFTER_SECONDS = 1;

  private final BackendStandIn backend;
  private final RequestKind kind;
  private final String requestId;
  private final int fillerBytes;
  private final Request request;
  private final Response response;
  private final Runnable start = this::readBody;
  private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.WAITING);

  private enum Stage {
    WAITING,
    READING,
    RUNNING,
    ENDED
  }

  BackendExchange(
      BackendStandIn backend,
      RequestKind kind,
      String requestId,
      int fillerBytes,
      Response response) {
    this.backend = backend;
    this.kind = kind;
    this.requestId = requestId;
    this.fillerBytes = fillerBytes;
    this.request = response.getRequest();
    this.response = response;
  }

  /** Asks for a slot; sheds the request if there is none. */
  void begin() {
    response.suspend(
        -1,
        TimeUnit.MILLISECONDS,
        new EmptyCompletionHandler<Response>() {
          @Override
          public void cancelled() {
            cancel();
          }

          @Override
          public void failed(Throwable failure) {
            cancel();
          }
        });
    if (!backend.slots().offer(start)) {
      stage.set(Stage.ENDED);
      response.setHeader("Retry-After", Integer.toString(RETRY_AFTER_SECONDS));
      answer(UNAVAILABLE, "{\"error\":\"shedding load\"}".getBytes());
    }
  }

  private void readBody() {
    if (!stage.compareAndSet(Stage.WAITING, Stage.READING)) {
      backend.slots().release();
      return;
    }
    BodyDigest.read(request.getNIOInputStream(), this::runRequest, this::cut);
  }

  private void runRequest(RunLedger.StoredUpload body) {
    if (!stage.compareAndSet(Stage.READING, Stage.RUNNING)) {
      return;
    }
    backend.ledger().begin(kind, requestId);
    backend.later(backend.nextServiceMicros(kind, request.getConnection()), () -> finish(body));
  }

  private void finish(RunLedger.StoredUpload body) {
    if (!stage.compareAndSet(Stage.RUNNING, Stage.ENDED)) {
      return;
    }
    if (kind == RequestKind.UPLOADS) {
      backend.ledger().store(requestId, body);
    }
    backend.slots().release();
    response.setHeader(WholeAnswer.REQUEST_ID, requestId);
    answer(OK, WholeAnswer.of(requestId, kind, body.sha256(), body.bytes(), fillerBytes));
  }

  private void cut() {
    if (stage.compareAndSet(Stage.READING, Stage.ENDED)) {
      backend.slots().release();
      if (kind == RequestKind.UPLOADS) {
        backend.ledger().cutUpload();
      }
    }
  }

  /** The connection went away; a running request is abandoned and its slot freed. */
  private void cancel() {
    cut();
    Stage before = stage.getAndSet(Stage.ENDED);
    if (before == Stage.RUNNING) {
      backend.slots().release();
    } else if (before == Stage.WAITING) {
      // If it is started meanwhile, its start sees the end and gives the slot back.
      backend.slots().withdraw(start);
    }
  }

  private void answer(int status, byte[] body) {
    try {
      Answers.bytes(response, status, "text/plain", body);
      response.resume();
    } catch (IOException | IllegalStateException gone) {
      // The connection went away while the answer was written; nobody is left to tell.
      return;
    }
  }
}
