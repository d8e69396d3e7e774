package io.umberpath.node.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.umberpath.control.store.StorePosition;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.node.settings.NodeSettings;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The platform's protocol as seen by the reader: complete documents or a clear error. */
class HttpPlatformReaderTest {
  private static final PeerAddress SELF = new PeerAddress("127.0.0.1", 7000);
  private static final long GENEROUS_MILLIS = 60_000;
  private static final long SHORT_MILLIS = 300;
  private static final String BACKEND =
      "{'id':'booking-1','host':'127.0.0.1','port':8001,'zone':'kepong',"
          + "'nodeHost':'127.0.0.2','nodeHopPort':9001}";
  private static final String MACHINE =
      "{'control':'127.0.0.2:7001','zone':'kepong','region':'klang','state':'leaving'}";
  private static final String DOCUMENT = document("7", "{'booking':[" + BACKEND + "]}", MACHINE);

  @Test
  void readsAWholeDocument() throws Exception {
    PlatformDocument read = read(ok(DOCUMENT), GENEROUS_MILLIS);
    assertThat(read.revision()).isEqualTo(7);
    assertThat(read.services().get("booking"))
        .containsExactly(
            new PlatformDocument.BackendAddress(
                "booking-1", "127.0.0.1", 8001, "kepong", "127.0.0.2", 9001));
    assertThat(read.machines())
        .containsExactly(
            new PlatformDocument.Machine(
                new PeerAddress("127.0.0.2", 7001),
                "kepong",
                "klang",
                PlatformDocument.MachineState.LEAVING));
    assertThat(PlatformDocumentCodec.parse(PlatformDocumentCodec.write(read)).get())
        .isEqualTo(read);
  }

  @Test
  void documentOfANewerEraFollowsAllOfTheEarlierEra() throws Exception {
    PlatformDocument before = read(ok(DOCUMENT), GENEROUS_MILLIS);
    PlatformDocument read =
        read(ok(DOCUMENT.replace("'revision':7", "'revision':3,'era':2")), GENEROUS_MILLIS);

    assertThat(StorePosition.unpacked(read.revision())).isEqualTo(new StorePosition(2, 3));
    assertThat(read.revision()).isGreaterThan(before.revision());
    assertThat(PlatformDocumentCodec.parse(PlatformDocumentCodec.write(read)).get())
        .isEqualTo(read);
  }

  @ParameterizedTest
  @ValueSource(strings = {"0", "-1", "1.5", "'2'", "4194304"})
  void documentWithAnInvalidEraIsRejected(String era) {
    byte[] json =
        DOCUMENT
            .replace("'revision':7", "'revision':3,'era':" + era)
            .replace('\'', '"')
            .getBytes(StandardCharsets.UTF_8);

    assertThat(PlatformDocumentCodec.parse(json).getLeft())
        .singleElement()
        .satisfies(violation -> assertThat(violation.field()).isEqualTo("era"));
  }

  @Test
  void readsAChunkedDocument() throws Exception {
    int half = DOCUMENT.length() / 2;
    String chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk(DOCUMENT.substring(0, half))
            + chunk(DOCUMENT.substring(half))
            + "0\r\n\r\n";
    assertThat(read(chunked, GENEROUS_MILLIS).revision()).isEqualTo(7);
  }

  static Stream<Arguments> badResponses() {
    String truncated = ok(DOCUMENT).substring(0, ok(DOCUMENT).length() - 20);
    String cutChunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(DOCUMENT);
    return Stream.of(
        Arguments.of("closed at once", "", "closed before"),
        Arguments.of("truncated body", truncated, "closed before"),
        Arguments.of("truncated chunks", cutChunk, "closed before"),
        Arguments.of("truncated header", "HTTP/1.1 200 OK\r\nContent-Le", "closed before"),
        Arguments.of("garbage", "\u0001\u0002 garbage\r\n\r\n", "not valid HTTP"),
        Arguments.of(
            "garbage chunk size",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n",
            "not valid HTTP"),
        Arguments.of(
            "endless header", "HTTP/1.1 200 OK\r\nX: " + "x".repeat(20_000), "not valid HTTP"),
        Arguments.of("garbage body", ok("}{"), "document"),
        Arguments.of("empty body", ok(""), "document"),
        Arguments.of("server error", status("500 Internal Server Error"), "status 500"),
        Arguments.of(
            "redirect", status("302 Found\r\nLocation: http://127.0.0.1:1/"), "status 302"),
        Arguments.of("not modified", status("304 Not Modified"), "status 304"),
        Arguments.of(
            "oversized chunks",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + chunk(" ".repeat(HttpPlatformReader.MAX_DOCUMENT_BYTES + 1)),
            "larger than"),
        Arguments.of(
            "oversized",
            "HTTP/1.1 200 OK\r\nContent-Length: "
                + (HttpPlatformReader.MAX_DOCUMENT_BYTES + 1L)
                + "\r\n\r\n{",
            "larger than"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("badResponses")
  void rejectsABadResponse(String name, String response, String message) {
    assertThatThrownBy(() -> read(response, GENEROUS_MILLIS))
        .hasRootCauseInstanceOf(PlatformReadException.class)
        .rootCause()
        .hasMessageContaining(message);
  }

  static Stream<Arguments> badDocuments() {
    String services = "{'booking':[" + BACKEND + "]}";
    return Stream.of(
        Arguments.of(
            "unknown field", DOCUMENT.replace("'machines'", "'x':1,'machines'"), "x = '1'"),
        Arguments.of("missing field", "{'revision':1,'services':{}}", "machines = '': missing"),
        Arguments.of("array document", "[]", "document = '[]': must be an object"),
        Arguments.of("revision text", document("'7'", "{}", ""), "revision = '\"7\"'"),
        Arguments.of("revision fraction", document("1.5", "{}", ""), "revision = '1.5'"),
        Arguments.of("revision zero", document("0", "{}", ""), "revision = '0'"),
        Arguments.of("revision null", document("null", "{}", ""), "revision = 'null'"),
        Arguments.of("revision huge", document("9".repeat(30), "{}", ""), "revision = '999"),
        Arguments.of("services list", document("1", "[]", ""), "services = '[]'"),
        Arguments.of("service object", document("1", "{'a':{}}", ""), "services.a = '{}'"),
        Arguments.of(
            "port range",
            DOCUMENT.replace("8001", "65536"),
            "services.booking[0].port = '65536': must be an integer between 1 and 65535"),
        Arguments.of("port text", DOCUMENT.replace("9001", "'9001'"), "nodeHopPort = '\"9001\"'"),
        Arguments.of(
            "host name",
            DOCUMENT.replace("'host':'127.0.0.1'", "'host':'localhost'"),
            "services.booking[0].host = '\"localhost\"': must be an IP address"),
        Arguments.of(
            "unknown back-end field",
            DOCUMENT.replace("'id':", "'weight':3,'id':"),
            "services.booking[0].weight = '3': unknown field"),
        Arguments.of(
            "repeated id",
            document("1", "{'a':[" + BACKEND + "],'b':[" + BACKEND + "]}", ""),
            "services.b[0].id = '\"booking-1\"': must be unique"),
        Arguments.of(
            "machine state", DOCUMENT.replace("leaving", "gone"), "machines[0].state = '\"gone\"'"),
        Arguments.of(
            "machine address",
            DOCUMENT.replace("127.0.0.2:7001", "127.0.0.2"),
            "machines[0].control = '\"127.0.0.2\"'"),
        Arguments.of("repeated field", DOCUMENT.replace("{'rev", "{'revision':1,'rev"), "revision"),
        Arguments.of("two documents", document("1", services, "") + "{}", "document"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("badDocuments")
  void rejectsABadDocumentNamingFieldAndValue(String name, String json, String message) {
    assertThatThrownBy(() -> read(ok(json), GENEROUS_MILLIS))
        .rootCause()
        .isInstanceOf(PlatformReadException.class)
        .hasMessageContaining(message);
  }

  @Test
  void reportsARefusedConnection() throws Exception {
    int free;
    try (ServerSocket unused = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      free = unused.getLocalPort();
    }
    assertThatThrownBy(() -> readFrom(free, GENEROUS_MILLIS))
        .cause()
        .isInstanceOf(PlatformReadException.class)
        .hasMessageContaining("reading from");
  }

  static Stream<Arguments> stalledResponses() {
    return Stream.of(
        Arguments.of("silence", ""),
        Arguments.of("stalls in the header", "HTTP/1.1 200 OK\r\nContent-"),
        Arguments.of("stalls in the body", ok(DOCUMENT).substring(0, ok(DOCUMENT).length() - 1)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("stalledResponses")
  void timesOutOnAStalledResponse(String name, String response) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread thread = new Thread(() -> respondAndHold(server, response));
      thread.start();
      assertThatThrownBy(() -> readFrom(server.getLocalPort(), SHORT_MILLIS))
          .cause()
          .isInstanceOf(PlatformReadException.class)
          .hasMessageContaining("within " + SHORT_MILLIS + " ms");
      thread.join(GENEROUS_MILLIS);
      assertThat(thread.isAlive()).as("the reader closed its connection").isFalse();
    }
  }

  @Test
  void rejectsAHostNameInTheUrl() {
    assertThatThrownBy(
            () -> HttpPlatformReader.open(new NodeSettings.Platform("http://platform/", 1), SELF))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("http://platform/");
  }

  private static PlatformDocument read(String response, long timeoutMillis) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread thread = new Thread(() -> respondAndClose(server, response));
      thread.start();
      return readFrom(server.getLocalPort(), timeoutMillis);
    }
  }

  private static PlatformDocument readFrom(int port, long timeoutMillis) throws Exception {
    String url = "http://127.0.0.1:" + port + "/document";
    try (HttpPlatformReader reader =
        HttpPlatformReader.open(new NodeSettings.Platform(url, timeoutMillis), SELF)) {
      return reader.read().toCompletableFuture().get(2 * GENEROUS_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private static void respondAndClose(ServerSocket server, String response) {
    try (Socket socket = server.accept()) {
      awaitRequest(socket);
      OutputStream out = socket.getOutputStream();
      out.write(response.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      socket.shutdownOutput();
      awaitClose(socket);
    } catch (IOException closed) {
      Thread.currentThread().interrupt();
    }
  }

  private static void respondAndHold(ServerSocket server, String response) {
    try (Socket socket = server.accept()) {
      awaitRequest(socket);
      socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
      awaitClose(socket);
    } catch (IOException closed) {
      Thread.currentThread().interrupt();
    }
  }

  private static void awaitRequest(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) socket.getInputStream().read());
    }
    assertThat(head).startsWith("GET /document HTTP/1.1").contains("umberpath (127.0.0.1:7000)");
  }

  private static void awaitClose(Socket socket) throws IOException {
    while (socket.getInputStream().read() >= 0) {
      continue;
    }
  }

  private static String ok(String singleQuoted) {
    String body = singleQuoted.replace('\'', '"');
    int length = body.getBytes(StandardCharsets.ISO_8859_1).length;
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
        + length
        + "\r\n\r\n"
        + body;
  }

  private static String status(String line) {
    return "HTTP/1.1 " + line + "\r\nContent-Length: 0\r\n\r\n";
  }

  private static String chunk(String singleQuoted) {
    String part = singleQuoted.replace('\'', '"');
    return Integer.toHexString(part.length()) + "\r\n" + part + "\r\n";
  }

  private static String document(String revision, String services, String machines) {
    return "{'revision':"
        + revision
        + ",'services':"
        + services
        + ",'machines':["
        + machines
        + "]}";
  }
}
