package io.umberpath.lab.backend;

import io.umberpath.lab.workload.WholeAnswer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * A whole answer.
 *
 * @param status HTTP status
 * @param headers headers besides length and type
 * @param body the body
 */
record BackendAnswer(int status, Map<String, String> headers, byte[] body) {
  /** Answer header of a back end that is leaving. */
  static final String DRAINING_HEADER = "Umberpath-Draining";

  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final Map<String, String> RETRY = Map.of("Retry-After", "1");

  static BackendAnswer whole(String requestId, byte[] body) {
    return new BackendAnswer(OK, Map.of(WholeAnswer.REQUEST_ID, requestId), body);
  }

  static BackendAnswer shed() {
    return new BackendAnswer(UNAVAILABLE, RETRY, text("shedding load"));
  }

  static BackendAnswer draining() {
    Map<String, String> headers = Map.of("Retry-After", "1", DRAINING_HEADER, "true");
    return new BackendAnswer(UNAVAILABLE, headers, text("draining"));
  }

  static BackendAnswer health(LoadSignal.Sample sample) {
    int status = sample.draining() ? UNAVAILABLE : OK;
    String phase = sample.draining() ? "draining" : "ready";
    return new BackendAnswer(status, Map.of(), text("{\"status\":\"" + phase + "\"}"));
  }

  static BackendAnswer load(LoadSignal.Sample sample, int slots) {
    String json =
        "{\"running\":%d,\"waiting\":%d,\"slots\":%d}"
            .formatted(sample.running(), sample.waiting(), slots);
    return new BackendAnswer(OK, Map.of(), text(json));
  }

  static BackendAnswer refused(int status, String message) {
    return new BackendAnswer(status, Map.of(), text(message));
  }

  /** Writes it as the answer to a request; closes the connection if the request asked for that. */
  void write(Connection<?> connection, HttpRequestPacket request) {
    HttpResponsePacket response = request.getResponse();
    response.setStatus(status);
    headers.forEach(response::setHeader);
    response.setContentLength(body.length);
    HttpContent content =
        HttpContent.builder(response)
            .content(Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, body))
            .last(true)
            .build();
    connection.write(content);
    if (!request.getProcessingState().isKeepAlive()) {
      connection.closeSilently();
    }
  }

  private static byte[] text(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
