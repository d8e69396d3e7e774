import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A client beside a node: each request on a connection of its own, as PROTOCOL.md allows. */
final class Client {
  /** How a request ended. */
  record Outcome(int status, String stamp, boolean complete, long bytes, long millis, String note) {}

  private final Record record;
  private final String name;
  private final String host;
  private final int port;

  Client(Record record, String name, String host, int port) {
    this.record = record;
    this.name = name;
    this.host = host;
    this.port = port;
  }

  /**
   * Sends a request and reads its answer; leaves at the deadline.
   *
   * @param deadlineMillis the time that the client waits, from the start of its attempt
   */
  Outcome send(String method, String target, String id, long deadlineMillis, byte[] body) {
    long start = System.nanoTime();
    record.line("%s sends %s %s %s, deadline %d ms", name, id, method, target, deadlineMillis);
    Outcome outcome = exchange(method, target, id, deadlineMillis, body, start);
    record.line(
        "%s has the end of %s: status %d, stamp %s, complete %s, %d bytes of body, after %d ms%s",
        name, id, outcome.status(), outcome.stamp() != null, outcome.complete(), outcome.bytes(),
        outcome.millis(), outcome.note().isEmpty() ? "" : ", " + outcome.note());
    return outcome;
  }

  private Outcome exchange(
      String method, String target, String id, long deadlineMillis, byte[] body, long start) {
    int status = 0;
    String stamp = null;
    long[] read = {0};
    String note;
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(host, port), 1_000);
      socket.setTcpNoDelay(true);
      String head =
          "%s %s HTTP/1.1\r\nHost: review.example\r\nX-Umberpath-Attempt-Id: %s\r\n"
              + "X-Umberpath-Deadline-Ms: %d\r\n%s\r\n";
      String length = body == null ? "" : "Content-Length: " + body.length + "\r\n";
      byte[] bytes =
          head.formatted(method, target, id, deadlineMillis, length)
              .getBytes(StandardCharsets.ISO_8859_1);
      socket.getOutputStream().write(bytes);
      if (body != null) {
        socket.getOutputStream().write(body);
      }
      InputStream in = new BufferedInputStream(new DeadlineInput(socket, start, deadlineMillis));
      Message answer = Message.read(in);
      if (answer == null) {
        return new Outcome(0, null, false, 0, since(start), "closed without an answer");
      }
      status = Integer.parseInt(answer.firstLine().split(" ")[1]);
      stamp = answer.header("X-Umberpath-Response-Stamp");
      readBody(answer, in, read);
      return new Outcome(status, stamp, true, read[0], since(start), "");
    } catch (SocketTimeoutException late) {
      note = "the client left at its deadline";
    } catch (IOException lost) {
      note = String.valueOf(lost.getMessage());
    }
    return new Outcome(status, stamp, false, read[0], since(start), note);
  }

  private static long since(long start) {
    return (System.nanoTime() - start) / 1_000_000;
  }

  private static void readBody(Message answer, InputStream in, long[] read) throws IOException {
    String length = answer.header("Content-Length");
    if (length != null) {
      readExactly(in, Long.parseLong(length), read);
      return;
    }
    if (!"chunked".equalsIgnoreCase(answer.header("Transfer-Encoding"))) {
      byte[] buffer = new byte[8192];
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        read[0] += count;
      }
      return;
    }
    while (true) {
      long size = Long.parseLong(line(in), 16);
      readExactly(in, size, read);
      line(in);
      if (size == 0) {
        return;
      }
    }
  }

  private static void readExactly(InputStream in, long length, long[] read) throws IOException {
    byte[] buffer = new byte[8192];
    for (long left = length; left > 0; ) {
      int count = in.read(buffer, 0, (int) Math.min(left, buffer.length));
      if (count < 0) {
        throw new IOException("the answer ended early");
      }
      left -= count;
      read[0] += count;
    }
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new IOException("the answer ended early");
      }
      if (next != '\r') {
        text.append((char) next);
      }
    }
    return text.toString();
  }

  /** Input that ends with a timeout at the client's deadline, whatever has arrived before. */
  private static final class DeadlineInput extends InputStream {
    private final Socket socket;
    private final InputStream in;
    private final long start;
    private final long deadlineMillis;

    DeadlineInput(Socket socket, long start, long deadlineMillis) throws IOException {
      this.socket = socket;
      this.in = socket.getInputStream();
      this.start = start;
      this.deadlineMillis = deadlineMillis;
    }

    @Override
    public int read() throws IOException {
      byte[] one = new byte[1];
      return read(one, 0, 1) < 0 ? -1 : one[0] & 0xff;
    }

    @Override
    public int read(byte[] bytes, int offset, int length) throws IOException {
      long left = deadlineMillis - since(start);
      if (left <= 0) {
        throw new SocketTimeoutException();
      }
      socket.setSoTimeout((int) left);
      return in.read(bytes, offset, length);
    }
  }
}
