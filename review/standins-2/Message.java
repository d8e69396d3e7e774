import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** The head of an HTTP/1.1 message, read byte by byte. */
record Message(String head) {
  /** Reads a head; null if the connection ends before its first byte. */
  static Message read(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    int matched = 0;
    while (matched < 4) {
      int next = in.read();
      if (next < 0) {
        if (bytes.size() == 0) {
          return null;
        }
        throw new IOException("the connection ended within a head");
      }
      bytes.write(next);
      matched = next == (matched % 2 == 0 ? '\r' : '\n') ? matched + 1 : next == '\r' ? 1 : 0;
    }
    return new Message(bytes.toString(StandardCharsets.ISO_8859_1));
  }

  /** Reads the body that follows, with a length or in chunks; null if the connection ends in it. */
  byte[] readBody(InputStream in) throws IOException {
    if (!"chunked".equalsIgnoreCase(header("Transfer-Encoding"))) {
      String length = header("Content-Length");
      int size = length == null ? 0 : Integer.parseInt(length);
      byte[] body = in.readNBytes(size);
      return body.length < size ? null : body;
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    while (true) {
      int size = Integer.parseInt(readLine(in), 16);
      byte[] chunk = in.readNBytes(size);
      if (chunk.length < size) {
        return null;
      }
      body.writeBytes(chunk);
      readLine(in);
      if (size == 0) {
        return body.toByteArray();
      }
    }
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new IOException("the connection ended within a chunk");
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  String firstLine() {
    return head.substring(0, head.indexOf("\r\n"));
  }

  String header(String name) {
    for (String line : head.split("\r\n")) {
      if (line.regionMatches(true, 0, name + ":", 0, name.length() + 1)) {
        return line.substring(name.length() + 1).strip();
      }
    }
    return null;
  }

  /** The value of a parameter of the query, or the default. */
  String parameter(String name, String otherwise) {
    String target = firstLine().split(" ")[1];
    int query = target.indexOf('?');
    for (String part : query < 0 ? new String[0] : target.substring(query + 1).split("&")) {
      if (part.startsWith(name + "=")) {
        return part.substring(name.length() + 1);
      }
    }
    return otherwise;
  }
}
