package io.umberpath.lab.backend;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.hash.Hashing;
import io.umberpath.lab.workload.RequestKind;
import io.umberpath.lab.workload.WholeAnswer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BackendStandInTest {
  private static final Duration GENEROUS = Duration.ofSeconds(60);
  private static final int SLOTS = 2;
  private static final int QUEUE = 1;
  private static final int CONNECTIONS = 8;
  private static final long OPEN_MILLIS = 1;
  private static final BackendSettings FAST =
      new BackendSettings("booking-1", SLOTS, CONNECTIONS, QUEUE, OPEN_MILLIS, 0, 1, 1, 7);

  /** So slow that no request ends within the test. */
  private static final BackendSettings STUCK =
      new BackendSettings(
          "booking-1", SLOTS, CONNECTIONS, QUEUE, OPEN_MILLIS, 0, 3_600_000, 1e6, 7);

  private final RunLedger ledger = new RunLedger();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private BackendStandIn backend;

  @AfterEach
  void stop() {
    if (backend != null) {
      backend.close();
    }
  }

  @ParameterizedTest
  @CsvSource({
    "POST, /fees/7, FEES, 1", "POST, /orders, ORDERS, 1",
    "GET, /lookups, LOOKUPS, 0", "GET, /browse/a, BROWSE, 0",
    "PUT, /uploads/x, UPLOADS, 0"
  })
  void answersWholeAndRecordsTheRun(String method, String path, RequestKind kind, int oneTimeRuns)
      throws Exception {
    start(FAST);
    String body = method.equals("GET") ? "" : "x".repeat(100_000);
    HttpResponse<byte[]> answer = send(method, path + "?bytes=5000", "id-1", body).get();
    String digest = Hashing.sha256().hashString(body, StandardCharsets.UTF_8).toString();
    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(answer.headers().firstValue(WholeAnswer.REQUEST_ID)).contains("id-1");
    assertThat(answer.body()).isEqualTo(WholeAnswer.of("id-1", kind, digest, body.length(), 5000));
    assertThat(ledger.runsOf("id-1")).isEqualTo(oneTimeRuns);
    assertThat(ledger.uploadOf("id-1") != null).isEqualTo(kind == RequestKind.UPLOADS);
  }

  @ParameterizedTest
  @CsvSource({"GET, /elsewhere, id, 404", "GET, /fees, id, 404", "POST, /fees, '', 400"})
  void refusesWhatItDoesNotServe(String method, String path, String id, int status)
      throws Exception {
    start(FAST);
    assertThat(send(method, path, id, "").get().statusCode()).isEqualTo(status);
    assertThat(ledger.runs()).isZero();
  }

  @Test
  void countsARepeatOfAOneTimeRequest() throws Exception {
    start(FAST);
    send("POST", "/fees", "id-1", "").get();
    send("POST", "/fees", "id-1", "").get();
    assertThat(ledger.runsOf("id-1")).isEqualTo(2);
    assertThat(ledger.doubleRuns()).isEqualTo(1);
  }

  @Test
  void shedsBeyondSlotsAndQueue() throws Exception {
    start(STUCK);
    List<CompletableFuture<HttpResponse<byte[]>>> held = new ArrayList<>();
    for (int number = 0; number < SLOTS + QUEUE; number++) {
      held.add(send("POST", "/fees", "held-" + number, ""));
    }
    await(() -> backend.running() == SLOTS && backend.slots().waiting() == QUEUE);
    HttpResponse<byte[]> shed = send("POST", "/fees", "shed", "").get();
    assertThat(shed.statusCode()).isEqualTo(503);
    assertThat(shed.headers().firstValue("Retry-After")).isPresent();
    assertThat(ledger.runsOf("shed")).isZero();
    assertThat(held).noneMatch(CompletableFuture::isDone);
  }

  @Test
  void freesTheSlotOfACancelledRequest() throws Exception {
    start(STUCK);
    try (Socket caller = connect()) {
      write(caller, "POST /fees HTTP/1.1\r\nHost: a\r\nIdempotency-Key: id-1\r\nContent-Length: 0");
      await(() -> backend.running() == 1);
    }
    await(() -> backend.running() == 0);
    assertThat(ledger.runsOf("id-1")).isEqualTo(1);
  }

  @Test
  void recordsACutUploadAsNotStored() throws Exception {
    start(FAST);
    try (Socket caller = connect()) {
      write(
          caller, "PUT /uploads HTTP/1.1\r\nHost: a\r\nIdempotency-Key: id-1\r\nContent-Length: 9");
      caller.getOutputStream().write('x');
      await(() -> backend.running() == 1);
    }
    await(() -> ledger.cutUploads() == 1);
    await(() -> backend.running() == 0);
    assertThat(ledger.uploadOf("id-1")).isNull();
    assertThat(ledger.runs()).isZero();
  }

  @Test
  void drainingRefusesNewWork() throws Exception {
    start(FAST);
    backend.setDraining(true);
    HttpResponse<byte[]> refused = send("POST", "/fees", "id-1", "").get();
    assertThat(refused.statusCode()).isEqualTo(503);
    assertThat(refused.headers().firstValue("Umberpath-Draining")).contains("true");
    assertThat(ledger.runs()).isZero();
  }

  @Test
  void closesConnectionsBeyondItsCap() throws Exception {
    start(FAST);
    List<Socket> open = new ArrayList<>();
    for (int number = 0; number < CONNECTIONS; number++) {
      open.add(connect());
    }
    await(() -> backend.openConnections() == CONNECTIONS);
    try (Socket refused = connect()) {
      assertThat(refused.getInputStream().read()).isEqualTo(-1);
    }
    assertThat(backend.refusedConnections()).isEqualTo(1);
    for (Socket socket : open) {
      socket.close();
    }
    await(() -> backend.openConnections() == 0);
  }

  @ParameterizedTest
  @CsvSource({"HONEST, 2", "ALWAYS_IDLE, 0", "INVERTED, 4"})
  void signalsMislead(SignalMode mode, int reported) {
    LoadSignal signal = new LoadSignal(6);
    signal.observe(new LoadSignal.Sample(1_000, 2, 0, false));
    signal.observe(new LoadSignal.Sample(2_000, 6, 0, false));
    signal.distort(mode, 500);
    assertThat(signal.reported(2_100).running()).isEqualTo(reported);
  }

  @Test
  void coldStartSlowsServiceTimes() {
    ServiceTimes cold = new ServiceTimes(BackendSettings.standard("a", 0, 1));
    ServiceTimes warm = new ServiceTimes(BackendSettings.standard("a", 0, 1));
    long coldMicros = cold.nextMicros(RequestKind.FEES, 0);
    long warmMicros = warm.nextMicros(RequestKind.FEES, 10_000);
    assertThat(coldMicros).isCloseTo(3 * warmMicros, org.assertj.core.data.Offset.offset(3L));
  }

  private void start(BackendSettings settings) throws IOException {
    backend = BackendStandIn.start("127.0.0.1", 0, settings, ledger);
  }

  private CompletableFuture<HttpResponse<byte[]>> send(
      String method, String path, String id, String body) {
    HttpRequest.BodyPublisher publisher =
        body.isEmpty()
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofString(body);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + backend.port() + path))
            .method(method, publisher)
            .header(WholeAnswer.REQUEST_ID, id)
            .timeout(GENEROUS)
            .build();
    return client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
  }

  private Socket connect() throws IOException {
    return new Socket(InetAddress.getByName("127.0.0.1"), backend.port());
  }

  private static void write(Socket socket, String head) throws IOException {
    socket.getOutputStream().write((head + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + GENEROUS.toNanos();
    while (!condition.getAsBoolean() && System.nanoTime() < deadlineNanos) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }
}
