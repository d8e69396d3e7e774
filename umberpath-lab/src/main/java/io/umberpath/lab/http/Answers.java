package io.umberpath.lab.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.http.server.Response;

/** Writes whole answers. */
public final class Answers {
  private static final String JSON = "application/json";

  private Answers() {}

  /** Writes a JSON answer. */
  public static void json(Response response, int status, String json) throws IOException {
    bytes(response, status, JSON, json.getBytes(StandardCharsets.UTF_8));
  }

  /** Writes an answer of the given media type. */
  public static void bytes(Response response, int status, String mediaType, byte[] body)
      throws IOException {
    response.setStatus(status);
    response.setContentType(mediaType);
    response.setContentLength(body.length);
    response.getOutputStream().write(body);
  }
}
