package io.umberpath.lab.backend;

import io.umberpath.lab.http.Answers;
import io.umberpath.lab.http.SelectorThreadHandler;
import io.umberpath.lab.workload.RequestKind;
import io.umberpath.lab.workload.WholeAnswer;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/** Takes the requests of a back-end stand-in. */
final class BackendHandler extends SelectorThreadHandler {
  /** Answer header of a back end that is leaving. */
  static final String DRAINING_HEADER = "Umberpath-Draining";

  private static final Pattern FILLER =
      Pattern.compile("(?:^|&)" + WholeAnswer.FILLER_PARAMETER + "=(\\d{1,8})(?:&|$)");
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  private final BackendStandIn backend;

  BackendHandler(BackendStandIn backend) {
    this.backend = backend;
  }

  @Override
  public void service(Request request, Response response) throws IOException {
    String path = request.getRequestURI();
    if (path.equals("/health") || path.equals("/load")) {
      probe(path, response);
      return;
    }
    Optional<RequestKind> kind = RequestKind.of(request.getMethod().getMethodString(), path);
    String requestId = request.getHeader(WholeAnswer.REQUEST_ID);
    if (kind.isEmpty()) {
      Answers.json(response, NOT_FOUND, "{\"error\":\"no such resource\"}");
    } else if (requestId == null || requestId.isBlank()) {
      Answers.json(
          response, BAD_REQUEST, "{\"error\":\"" + WholeAnswer.REQUEST_ID + " is missing\"}");
    } else if (backend.isDraining()) {
      response.setHeader(DRAINING_HEADER, "true");
      response.setHeader("Retry-After", "1");
      Answers.json(response, UNAVAILABLE, "{\"error\":\"draining\"}");
    } else {
      new BackendExchange(backend, kind.get(), requestId, fillerBytes(request), response).begin();
    }
  }

  /** Reads the query alone: Grizzly looks for parameters of a POST in its body and would block. */
  private static int fillerBytes(Request request) {
    Matcher asked = FILLER.matcher(String.valueOf(request.getQueryString()));
    return asked.find()
        ? Math.min(Integer.parseInt(asked.group(1)), WholeAnswer.MAX_FILLER_BYTES)
        : 0;
  }

  private void probe(String path, Response response) {
    response.suspend();
    long micros = TimeUnit.MILLISECONDS.toMicros(backend.settings().probeMillis());
    backend.later(micros, () -> answerProbe(path, response));
  }

  private void answerProbe(String path, Response response) {
    LoadSignal.Sample sample = backend.reportedLoad();
    try {
      if (path.equals("/health")) {
        int status = sample.draining() ? UNAVAILABLE : OK;
        String phase = sample.draining() ? "draining" : "ready";
        Answers.json(response, status, "{\"status\":\"" + phase + "\"}");
      } else {
        String json =
            "{\"running\":%d,\"waiting\":%d,\"slots\":%d}"
                .formatted(sample.running(), sample.waiting(), backend.settings().slots());
        Answers.json(response, OK, json);
      }
      response.resume();
    } catch (IOException | IllegalStateException gone) {
      // The prober went away; nobody is left to tell.
      return;
    }
  }
}
