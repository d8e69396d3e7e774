package io.umberpath.lab.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.umberpath.lab.http.Answers;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.Violation;
import io.umberpath.node.platform.HttpPlatformReader;
import io.umberpath.node.platform.PlatformDocumentCodec;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.Request;
import org.glassfish.grizzly.http.server.Response;

/** The calls that steer a {@link PlatformStandIn}, on a port of their own. */
final class PlatformAdmin extends HttpHandler {
  private final ObjectMapper mapper = new ObjectMapper();
  private final PlatformStandIn standIn;

  PlatformAdmin(PlatformStandIn standIn) {
    this.standIn = standIn;
  }

  @Override
  public void service(Request request, Response response) throws IOException {
    String call = request.getMethod() + " " + request.getRequestURI();
    switch (call) {
      case "PUT /document" -> setDocument(request, response);
      case "PUT /machine-lag" -> setMachineLag(request, response);
      case "PUT /fault" -> setFault(request, response);
      case "GET /readers" ->
          Answers.json(response, Answers.OK, mapper.writeValueAsString(standIn.readers()));
      default -> Answers.json(response, Answers.NOT_FOUND, error("no call " + call));
    }
  }

  private void setDocument(Request request, Response response) throws IOException {
    byte[] body = request.getInputStream().readNBytes(HttpPlatformReader.MAX_DOCUMENT_BYTES);
    Either<List<Violation>, PlatformDocument> parsed = PlatformDocumentCodec.parse(body);
    if (parsed.isLeft()) {
      Answers.json(response, Answers.BAD_REQUEST, error(parsed.getLeft().toString()));
      return;
    }
    standIn.publish(parsed.get());
    Answers.done(response);
  }

  private void setMachineLag(Request request, Response response) throws IOException {
    String text = String.valueOf(request.getParameter("millis"));
    if (!text.matches("\\d{1,9}")) {
      Answers.json(
          response, Answers.BAD_REQUEST, error("millis = '" + text + "': must be 0 to 999999999"));
      return;
    }
    standIn.lagMachines(Long.parseLong(text));
    Answers.done(response);
  }

  private void setFault(Request request, Response response) throws IOException {
    String text = String.valueOf(request.getParameter("name"));
    Optional<PlatformFault> fault = PlatformFault.ofLabel(text);
    if (fault.isEmpty()) {
      Answers.json(response, Answers.BAD_REQUEST, error("name = '" + text + "': no such fault"));
      return;
    }
    standIn.setFault(fault.get());
    Answers.done(response);
  }

  private String error(String message) throws IOException {
    return mapper.writeValueAsString(mapper.createObjectNode().put("error", message));
  }
}
