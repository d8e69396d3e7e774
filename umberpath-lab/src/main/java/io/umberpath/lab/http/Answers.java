package io.umberpath.lab.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.http.server.Response;

/** Writes whole JSON answers of the stand-ins. */
public final class Answers {
  /** HTTP status of a call that was carried out. */
  public static final int OK = 200;

  /** HTTP status of a call with a wrong parameter or body. */
  public static final int BAD_REQUEST = 400;

  /** HTTP status of a call that does not exist. */
  public static final int NOT_FOUND = 404;

  private static final String JSON = "application/json";
  private static final String DONE = "{\"done\":true}";

  private Answers() {}

  /** Writes the answer to a call that was carried out and yields nothing. */
  public static void done(Response response) throws IOException {
    json(response, OK, DONE);
  }

  /** Writes a JSON answer. */
  public static void json(Response response, int status, String json) throws IOException {
    json(response, status, json.getBytes(StandardCharsets.UTF_8));
  }

  /** Writes a JSON answer that is encoded already. */
  public static void json(Response response, int status, byte[] body) throws IOException {
    response.setStatus(status);
    response.setContentType(JSON);
    response.setContentLength(body.length);
    response.getOutputStream().write(body);
  }
}
