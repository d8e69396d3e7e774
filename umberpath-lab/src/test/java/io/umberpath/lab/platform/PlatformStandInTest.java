package io.umberpath.lab.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.umberpath.lab.http.LabHttpServer;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.node.platform.HttpPlatformReader;
import io.umberpath.node.platform.PlatformDocumentCodec;
import io.umberpath.node.settings.NodeSettings;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlatformStandInTest {
  private static final long GENEROUS_MILLIS = 60_000;
  private static final long SHORT_MILLIS = 300;
  private static final long LONG_LAG_MILLIS = 3_600_000;
  private static final PlatformDocument FIRST = document(1, PlatformDocument.MachineState.LIVE);
  private static final PlatformDocument SECOND = document(2, PlatformDocument.MachineState.LEAVING);

  private PlatformStandIn standIn;

  @BeforeEach
  void start() throws Exception {
    standIn = PlatformStandIn.start("127.0.0.1", 0, FIRST);
  }

  @AfterEach
  void stop() {
    standIn.close();
  }

  @Test
  void servesTheNewestDocument() throws Exception {
    assertThat(read(GENEROUS_MILLIS)).isEqualTo(FIRST);
    standIn.publish(SECOND);
    assertThat(read(GENEROUS_MILLIS)).isEqualTo(SECOND);
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(GENEROUS_MILLIS);
    while (standIn.readers().concurrent() > 0 && System.nanoTime() < deadlineNanos) {
      Thread.onSpinWait();
    }
    assertThat(standIn.readers()).isEqualTo(new ReaderReport(2, 0, 1, 1, 1));
  }

  @Test
  void lagsTheMachineListAlone() throws Exception {
    standIn.lagMachines(LONG_LAG_MILLIS);
    standIn.publish(SECOND);
    PlatformDocument read = read(GENEROUS_MILLIS);
    assertThat(read.revision()).isEqualTo(2);
    assertThat(read.machines()).isEqualTo(FIRST.machines());
  }

  @Test
  void staleServesTheDocumentOfThatMoment() throws Exception {
    standIn.setFault(PlatformFault.STALE);
    standIn.publish(SECOND);
    assertThat(read(GENEROUS_MILLIS)).isEqualTo(FIRST);
  }

  @Test
  void goingBackServesTheDocumentBefore() throws Exception {
    standIn.publish(SECOND);
    standIn.setFault(PlatformFault.GOING_BACK);
    assertThat(read(GENEROUS_MILLIS)).isEqualTo(FIRST);
  }

  @ParameterizedTest
  @CsvSource({"DOWN, reading from", "SILENT, within", "SLOW, within", "GARBLED, document refused"})
  void failsAndComesBack(PlatformFault fault, String message) throws Exception {
    standIn.setFault(fault);
    long timeoutMillis = message.equals("within") ? SHORT_MILLIS : GENEROUS_MILLIS;
    assertThatThrownBy(() -> read(timeoutMillis)).cause().hasMessageContaining(message);
    standIn.setFault(PlatformFault.NONE);
    assertThat(read(GENEROUS_MILLIS)).isEqualTo(FIRST);
  }

  @ParameterizedTest
  @CsvSource({
    "PUT, /machine-lag?millis=50, 200, done",
    "PUT, /machine-lag?millis=-1, 400, millis = '-1'",
    "PUT, /fault?name=stale, 200, done",
    "PUT, /fault?name=asleep, 400, name = 'asleep'",
    "PUT, /document, 400, document = ''",
    "GET, /readers, 200, maxDistinct",
    "GET, /elsewhere, 404, no call GET /elsewhere",
  })
  void adminCallsAnswer(String method, String call, int status, String text) throws Exception {
    HttpResponse<String> answer = admin(method, call, HttpRequest.BodyPublishers.noBody());
    assertThat(answer.statusCode()).isEqualTo(status);
    assertThat(answer.body()).contains(text);
  }

  @Test
  void adminPublishesADocument() throws Exception {
    byte[] json = PlatformDocumentCodec.write(SECOND);
    HttpResponse<String> answer =
        admin("PUT", "/document", HttpRequest.BodyPublishers.ofByteArray(json));
    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(read(GENEROUS_MILLIS)).isEqualTo(SECOND);
  }

  private HttpResponse<String> admin(String method, String call, HttpRequest.BodyPublisher body)
      throws Exception {
    try (LabHttpServer server = LabHttpServer.create("127.0.0.1", 0, new PlatformAdmin(standIn))) {
      server.start();
      URI uri = URI.create("http://127.0.0.1:" + server.port() + call);
      return HttpClient.newHttpClient()
          .send(
              HttpRequest.newBuilder(uri)
                  .version(HttpClient.Version.HTTP_1_1)
                  .method(method, body)
                  .build(),
              HttpResponse.BodyHandlers.ofString());
    }
  }

  private PlatformDocument read(long timeoutMillis) throws Exception {
    NodeSettings.Platform settings = new NodeSettings.Platform(standIn.url(), timeoutMillis);
    try (HttpPlatformReader reader =
        HttpPlatformReader.open(settings, new PeerAddress("127.0.0.1", 1))) {
      return reader.read().toCompletableFuture().get(GENEROUS_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private static PlatformDocument document(long revision, PlatformDocument.MachineState state) {
    SortedMap<String, List<PlatformDocument.BackendAddress>> services = new TreeMap<>();
    services.put("records", List.of());
    PlatformDocument.Machine machine =
        new PlatformDocument.Machine(new PeerAddress("127.0.0.1", 7000), "kepong", "klang", state);
    return new PlatformDocument(revision, services, List.of(machine));
  }
}
