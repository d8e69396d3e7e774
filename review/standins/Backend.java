import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** An application backend. Each connection carries one request at a time; a script answers it. */
final class Backend implements AutoCloseable {
  /** A request as it arrived. */
  record Request(
      String method, String target, Map<String, String> headers, byte[] body, boolean isWhole) {
    String id() {
      return headers.getOrDefault("x-umberpath-attempt-id", "");
    }
  }

  /** Answers a request that this backend runs. */
  interface Script {
    void run(Request request, Connection connection) throws IOException, InterruptedException;
  }

  /** A connection of a node. */
  final class Connection {
    final Socket socket;
    final InputStream in;
    final OutputStream out;
    int requests;

    Connection(Socket socket) throws IOException {
      this.socket = socket;
      this.in = new BufferedInputStream(socket.getInputStream());
      this.out = socket.getOutputStream();
      socket.setTcpNoDelay(true);
    }

    void write(String text) throws IOException {
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
    }

    /** Answers 200 with the request's id and a stamp. */
    void answer(Request request, String body) throws IOException {
      write(
          "HTTP/1.1 200 OK\r\nX-Umberpath-Attempt-Id: %s\r\nX-Umberpath-Response-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s"
              .formatted(request.id(), stamp(request), body.length(), body));
    }

    /** Ends the connection with a reset. */
    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  private final Record record;
  private final String name;
  private final InetSocketAddress address;
  private volatile String id;
  private volatile Script script;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket listener;

  Backend(Record record, String name, String id, InetSocketAddress address, Script script)
      throws IOException {
    this.record = record;
    this.name = name;
    this.id = id;
    this.address = address;
    this.script = script;
    listen();
  }

  String id() {
    return id;
  }

  String name() {
    return name;
  }

  void setScript(Script next) {
    script = next;
  }

  static String stamp(Request request) {
    return Integer.toHexString(request.id().hashCode()) + ".stamp";
  }

  private void listen() throws IOException {
    ServerSocket opened = new ServerSocket();
    opened.setReuseAddress(true);
    opened.bind(address, 128);
    listener = opened;
    start(() -> accept(opened));
  }

  private void accept(ServerSocket opened) {
    while (!opened.isClosed()) {
      try {
        Socket socket = opened.accept();
        open.add(socket);
        start(() -> serve(socket));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      Connection connection = new Connection(socket);
      for (Request request = read(connection); request != null; request = read(connection)) {
        connection.requests++;
        handle(request, connection);
      }
    } catch (IOException | InterruptedException ended) {
      return;
    } finally {
      open.remove(socket);
    }
  }

  private void handle(Request request, Connection connection)
      throws IOException, InterruptedException {
    if (request.target().equals("/healthz")) {
      connection.write(
          "HTTP/1.1 200 OK\r\nX-Umberpath-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    String expected = request.headers().getOrDefault("x-umberpath-expect-instance", id);
    if (!expected.equals(id)) {
      record.add("misdirected", name, "id=" + request.id() + " expected=" + expected);
      connection.write(
          "HTTP/1.1 421 Misdirected Request\r\nX-Umberpath-Attempt-Id: %s\r\nX-Umberpath-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n"
              .formatted(request.id(), id));
      return;
    }
    script.run(request, connection);
  }

  /** Records that this backend began to work on the request. */
  void ran(Request request, Connection connection) {
    record.ran(name, request, connection.requests);
  }

  /** Records something else that this backend did. */
  void note(String what, String details) {
    record.add(what, name, details);
  }

  static Request read(Connection connection) throws IOException {
    String line = line(connection.in);
    if (line == null) {
      return null;
    }
    String[] words = line.split(" ");
    Map<String, String> headers = new TreeMap<>();
    for (String field = line(connection.in);
        field != null && !field.isEmpty();
        field = line(connection.in)) {
      int colon = field.indexOf(':');
      headers.put(
          field.substring(0, colon).toLowerCase(Locale.ROOT), field.substring(colon + 1).strip());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean whole = true;
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      while (true) {
        String size = line(connection.in);
        if (size == null) {
          whole = false;
          break;
        }
        int length = Integer.parseInt(size.split(";")[0].strip(), 16);
        if (length == 0) {
          for (String t = line(connection.in); t != null && !t.isEmpty(); ) {
            t = line(connection.in);
          }
          break;
        }
        byte[] chunk = connection.in.readNBytes(length);
        body.write(chunk);
        whole = chunk.length == length && line(connection.in) != null;
        if (!whole) {
          break;
        }
      }
    } else {
      int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
      byte[] content = connection.in.readNBytes(length);
      body.write(content);
      whole = content.length == length;
    }
    return new Request(words[0], words[1], headers, body.toByteArray(), whole);
  }

  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int value = in.read(); value >= 0; value = in.read()) {
      if (value == '\n') {
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      bytes.write(value);
    }
    return null;
  }

  /** Crashes: resets all connections and closes the port. */
  void crash() throws IOException {
    listener.close();
    for (Socket socket : open) {
      socket.setSoLinger(true, 0);
      socket.close();
    }
  }

  /** Starts again, under the given id, which may be that of the last start. */
  void restart(String nextId) throws IOException {
    id = nextId;
    listen();
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "backend");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : open) {
      socket.close();
    }
  }
}
