package io.umberpath.lab.caller;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.umberpath.lab.backend.BackendSettings;
import io.umberpath.lab.backend.BackendStandIn;
import io.umberpath.lab.backend.RunLedger;
import io.umberpath.lab.workload.RequestKind;
import io.umberpath.lab.workload.WholeAnswer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class OpenLoopCallerTest {
  private static final Duration GENEROUS = Duration.ofSeconds(60);
  private static final double RATE_PER_SECOND = 500;
  private static final int ENOUGH_CALLS = 50;
  private static final Map<RequestKind, Integer> EVERY_KIND =
      Map.of(
          RequestKind.FEES, 1,
          RequestKind.ORDERS, 1,
          RequestKind.LOOKUPS, 1,
          RequestKind.BROWSE, 1,
          RequestKind.UPLOADS, 1);

  @Test
  void agreesWithTheBackEndOnEveryKind() throws Exception {
    RunLedger ledger = new RunLedger();
    BackendSettings settings = new BackendSettings("b", 64, 1_000, 10_000, 0, 0, 1, 1, 1);
    CallRecords records = new CallRecords();
    try (BackendStandIn backend = BackendStandIn.start("127.0.0.1", 0, settings, ledger)) {
      call(backend.port(), new CallMix(EVERY_KIND), records, CallOutcome.COMPLETED);
    }
    assertThat(records.count(CallOutcome.COMPLETED)).isEqualTo(records.total());
    assertThat(RunAudit.contradictions(records, ledger)).isEmpty();
    assertThat(records.latencyMicros(50)).isPositive();
  }

  @ParameterizedTest
  @CsvSource({
    "200, right id, not the body, '', WRONG_ANSWER",
    "200, other id, body, '', WRONG_ANSWER",
    "404, right id, body, '', WRONG_ANSWER",
    "503, right id, body, '', WRONG_ANSWER",
    "503, right id, body, retry, SHED",
    "503, right id, body, not-run; reason=overloaded, NOT_RUN",
    "502, right id, body, may-have-run; reason=connection-lost, MAY_HAVE_RUN",
    "0, '', '', '', NO_ANSWER",
  })
  void judgesAnswers(int status, String id, String body, String extra, CallOutcome expected)
      throws Exception {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", exchange -> answer(exchange, status, id, body, extra));
    server.start();
    CallRecords records = new CallRecords();
    CallMix lookups = new CallMix(Map.of(RequestKind.LOOKUPS, 1));
    call(server.getAddress().getPort(), lookups, records, expected);
    server.stop(0);
    assertThat(records.count(expected)).isEqualTo(records.total());
  }

  @ParameterizedTest
  @CsvSource({
    "COMPLETED, 0, 1",
    "COMPLETED, 1, 0",
    "COMPLETED, 2, 1",
    "NOT_RUN, 0, 0",
    "NOT_RUN, 1, 1",
    "MAY_HAVE_RUN, 0, 0",
    "MAY_HAVE_RUN, 1, 0",
    "MAY_HAVE_RUN, 2, 1"
  })
  void auditFindsUntruths(CallOutcome told, int runs, int contradictions) throws Exception {
    RunLedger ledger = new RunLedger();
    BackendSettings settings = new BackendSettings("b", 1, 10, 1, 0, 0, 1, 1, 1);
    Call fee = new Call(RequestKind.FEES, "fee-1", new byte[0], 0);
    try (BackendStandIn backend = BackendStandIn.start("127.0.0.1", 0, settings, ledger)) {
      URI uri = URI.create("http://127.0.0.1:" + backend.port());
      for (int run = 0; run < runs; run++) {
        java.net.http.HttpClient.newHttpClient()
            .send(fee.request(uri, GENEROUS), java.net.http.HttpResponse.BodyHandlers.discarding());
      }
    }
    CallRecords records = new CallRecords();
    records.add(fee, told, 1, "");
    assertThat(RunAudit.contradictions(records, ledger)).hasSize(contradictions);
  }

  private static void call(int port, CallMix mix, CallRecords records, CallOutcome awaited)
      throws InterruptedException {
    URI target = URI.create("http://127.0.0.1:" + port);
    CallerSettings settings =
        new CallerSettings("t", List.of(target), mix, RATE_PER_SECOND, 1, GENEROUS, 1);
    OpenLoopCaller caller = OpenLoopCaller.start(settings, records);
    long deadlineNanos = System.nanoTime() + GENEROUS.toNanos();
    while (records.count(awaited) < ENOUGH_CALLS && System.nanoTime() < deadlineNanos) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    caller.close();
    assertThat(records.count(awaited)).isGreaterThanOrEqualTo(ENOUGH_CALLS);
  }

  private static void answer(
      HttpExchange exchange, int status, String id, String body, String extra) throws IOException {
    if (status == 0) {
      exchange.close();
      return;
    }
    String requestId = exchange.getRequestHeaders().getFirst(WholeAnswer.REQUEST_ID);
    String sent = id.equals("right id") ? requestId : "other";
    exchange.getResponseHeaders().set(WholeAnswer.REQUEST_ID, sent);
    if (extra.equals("retry")) {
      exchange.getResponseHeaders().set("Retry-After", "1");
    } else if (!extra.isEmpty()) {
      exchange.getResponseHeaders().set("Umberpath-Verdict", extra);
    }
    byte[] bytes = body.equals("body") ? wholeBody(exchange, requestId) : body.getBytes();
    exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private static byte[] wholeBody(HttpExchange exchange, String requestId) {
    String query = exchange.getRequestURI().getQuery();
    int filler = Integer.parseInt(query.substring(query.indexOf('=') + 1));
    String emptyDigest = com.google.common.hash.Hashing.sha256().hashBytes(new byte[0]).toString();
    return WholeAnswer.of(requestId, RequestKind.LOOKUPS, emptyDigest, 0, filler);
  }
}
