import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A client connection to the outbound address of a node. */
final class Client implements AutoCloseable {
  /** An answer; the status is 0 if the connection ended without one. */
  record Answer(int status, Map<String, String> headers, byte[] body, boolean isWhole) {
    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }

    @Override
    public String toString() {
      return "status=%d whole=%b id=%s stamp=%s verdict=%s retry-after=%s body=%d bytes"
          .formatted(
              status,
              isWhole,
              headers.get("x-umberpath-attempt-id"),
              headers.get("x-umberpath-response-stamp"),
              headers.get("umberpath-verdict"),
              headers.get("retry-after"),
              body.length);
    }
  }

  private static final Answer NONE = new Answer(0, Map.of(), new byte[0], false);

  final Socket socket = new Socket();
  private final InputStream in;

  Client(InetSocketAddress address) throws IOException {
    socket.connect(address, 1_000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(15_000);
    in = new BufferedInputStream(socket.getInputStream());
  }

  static String head(String method, String target, String host, String id, long deadlineMs) {
    return "%s %s HTTP/1.1\r\nHost: %s\r\nX-Umberpath-Attempt-Id: %s\r\nX-Umberpath-Deadline-Ms: %d\r\n"
        .formatted(method, target, host, id, deadlineMs);
  }

  void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  Answer read(boolean hasBody) {
    try {
      while (true) {
        Answer answer = readOne(hasBody);
        if (answer.status() < 100 || answer.status() >= 200) {
          return answer;
        }
      }
    } catch (IOException broken) {
      return NONE;
    }
  }

  Answer read() {
    return read(true);
  }

  private Answer readOne(boolean hasBody) throws IOException {
    String status = Backend.line(in);
    if (status == null) {
      return NONE;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String field = Backend.line(in); ; field = Backend.line(in)) {
      if (field == null) {
        return NONE;
      }
      if (field.isEmpty()) {
        break;
      }
      int colon = field.indexOf(':');
      headers.put(
          field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
    }
    int code = Integer.parseInt(status.split(" ")[1]);
    if (!hasBody || code < 200 || code == 204 || code == 304) {
      return new Answer(code, headers, new byte[0], true);
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean whole = true;
    try {
      if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
        whole = readChunks(body);
      } else if (headers.containsKey("content-length")) {
        int length = Integer.parseInt(headers.get("content-length"));
        byte[] content = in.readNBytes(length);
        body.write(content);
        whole = content.length == length;
      } else {
        body.write(in.readAllBytes());
      }
    } catch (IOException broken) {
      whole = false;
    }
    return new Answer(code, headers, body.toByteArray(), whole);
  }

  private boolean readChunks(ByteArrayOutputStream body) throws IOException {
    while (true) {
      String size = Backend.line(in);
      if (size == null || size.isEmpty()) {
        return false;
      }
      int length = Integer.parseInt(size.split(";")[0].strip(), 16);
      if (length == 0) {
        for (String trailer = Backend.line(in); ; trailer = Backend.line(in)) {
          if (trailer == null) {
            return false;
          }
          if (trailer.isEmpty()) {
            return true;
          }
        }
      }
      byte[] chunk = in.readNBytes(length);
      body.write(chunk);
      if (chunk.length < length || Backend.line(in) == null) {
        return false;
      }
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
