package io.umberpath.lab.backend;

import io.umberpath.lab.http.Answers;
import java.io.IOException;
import java.util.Optional;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/** The calls that steer a {@link BackendStandIn}, on a port of their own. */
final class BackendAdmin extends HttpHandler {
  private final BackendStandIn backend;

  BackendAdmin(BackendStandIn backend) {
    this.backend = backend;
  }

  @Override
  public void service(Request request, Response response) throws IOException {
    String call = request.getMethod() + " " + request.getRequestURI();
    switch (call) {
      case "GET /runs" -> runs(request, response);
      case "PUT /draining" -> draining(request, response);
      case "PUT /signals" -> signals(request, response);
      default -> Answers.json(response, Answers.NOT_FOUND, "{\"error\":\"no such call\"}");
    }
  }

  private void runs(Request request, Response response) throws IOException {
    String requestId = request.getParameter("id");
    RunLedger ledger = backend.ledger();
    String json =
        requestId == null
            ? "{\"runs\":%d,\"doubleRuns\":%d,\"cutUploads\":%d}"
                .formatted(ledger.runs(), ledger.doubleRuns(), ledger.cutUploads())
            : "{\"runs\":%d}".formatted(ledger.runsOf(requestId));
    Answers.json(response, Answers.OK, json);
  }

  private void draining(Request request, Response response) throws IOException {
    String value = String.valueOf(request.getParameter("value"));
    if (!value.equals("true") && !value.equals("false")) {
      Answers.json(response, Answers.BAD_REQUEST, "{\"error\":\"value must be true or false\"}");
      return;
    }
    backend.setDraining(Boolean.parseBoolean(value));
    Answers.done(response);
  }

  private void signals(Request request, Response response) throws IOException {
    Optional<SignalMode> mode = SignalMode.ofLabel(String.valueOf(request.getParameter("mode")));
    String lag = String.valueOf(request.getParameter("lag"));
    if (mode.isEmpty() || !lag.matches("\\d{1,6}")) {
      String accepted = "mode must be honest, always-idle or inverted; lag 0 to 999999 ms";
      Answers.json(response, Answers.BAD_REQUEST, "{\"error\":\"" + accepted + "\"}");
      return;
    }
    backend.distortSignals(mode.get(), Long.parseLong(lag));
    Answers.done(response);
  }
}
