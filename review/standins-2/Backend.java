import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A backend as PROTOCOL.md describes it. It works for as long as the parameter {@code work} of the
 * query says (milliseconds) and stops at the deadline that it was handed. With the parameter {@code
 * call}, it makes a call of its own through the node beside it after that many milliseconds.
 */
final class Backend implements AutoCloseable {
  /** When a request began and ended at a backend, on the record's clock; 0 while it is at work. */
  static final class Run {
    final String instance;
    final long beganMillis;
    final byte[] body;
    volatile long endedMillis;
    volatile String end = "at work";

    Run(String instance, long beganMillis, byte[] body) {
      this.body = body;
      this.instance = instance;
      this.beganMillis = beganMillis;
    }
  }

  /** Makes a call of the backend through the node beside it. */
  interface Caller {
    Client.Outcome call(String target, String id, long deadlineMillis);
  }

  /** A call that the backend has made through the node beside it, and how it ended. */
  record Call(String id, long sentMillis, long deadlineMillis, Client.Outcome outcome) {}

  /** Answers a request in a way of its own; returns whether it has done so. */
  interface Fault {
    boolean answer(Message request, Socket connection, OutputStream out) throws IOException;
  }

  private static final int SLOTS = 6;
  private static final int QUEUE = 24;

  final Map<String, Run> runs = new ConcurrentHashMap<>();
  final Queue<Call> calls = new ConcurrentLinkedQueue<>();
  private final Record record;
  private final String instance;
  private final ServerSocket server;
  private final AtomicInteger held = new AtomicInteger();
  private final Semaphore slots = new Semaphore(SLOTS, true);
  private volatile Caller caller;
  private volatile Fault fault = (request, connection, out) -> false;

  Backend(Record record, String instance, String host, int port) throws IOException {
    this.record = record;
    this.instance = instance;
    this.server = new ServerSocket(port, 130, InetAddress.getByName(host));
    daemon(this::accept);
  }

  String instance() {
    return instance;
  }

  void setCaller(Caller newCaller) {
    caller = newCaller;
  }

  void setFault(Fault newFault) {
    fault = newFault;
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        daemon(() -> serve(socket));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Message request = Message.read(in); request != null; request = Message.read(in)) {
        byte[] body = request.readBody(in);
        if (body == null || !handle(request, body, socket, out)) {
          return;
        }
      }
    } catch (IOException | InterruptedException ended) {
      return;
    }
  }

  /** Returns whether the connection may carry another request. */
  private boolean handle(Message request, byte[] body, Socket socket, OutputStream out)
      throws IOException, InterruptedException {
    if (request.firstLine().startsWith("GET /healthz ")) {
      write(out, "200 OK", "X-Umberpath-Instance-Id: " + instance + "\r\n", "");
      return true;
    }
    String id = request.header("X-Umberpath-Attempt-Id");
    String echo = "X-Umberpath-Attempt-Id: " + id + "\r\n";
    String expected = request.header("X-Umberpath-Expect-Instance");
    if (expected != null && !expected.equals(instance)) {
      write(out, "421 Misdirected", echo + "X-Umberpath-Instance-Id: " + instance + "\r\n", "");
      return true;
    }
    if (held.incrementAndGet() > SLOTS + QUEUE) {
      held.decrementAndGet();
      write(out, "503 Full", echo + "X-Umberpath-Not-Executed: 1\r\n", "");
      return true;
    }
    try {
      slots.acquire();
      try {
        return run(request, body, id, echo, socket, out);
      } finally {
        slots.release();
      }
    } finally {
      held.decrementAndGet();
    }
  }

  private boolean run(
      Message request, byte[] body, String id, String echo, Socket socket, OutputStream out)
      throws IOException, InterruptedException {
    Run run = new Run(instance, record.now(), body);
    runs.put(id, run);
    record.line("backend %s begins %s", instance, id);
    String end = "lost its connection";
    try {
      if (fault.answer(request, socket, out)) {
        end = "ended its faulty answer";
        return false;
      }
      end = work(request, id, echo, socket, out);
      return end.startsWith("answered");
    } finally {
      run.endedMillis = record.now();
      run.end = end;
      record.line("backend %s ends %s: %s", instance, id, end);
    }
  }

  private String work(Message request, String id, String echo, Socket socket, OutputStream out)
      throws IOException, InterruptedException {
    long workMillis = Long.parseLong(request.parameter("work", "20"));
    long callAfterMillis = Long.parseLong(request.parameter("call", "-1"));
    long deadlineMillis = Long.parseLong(request.header("X-Umberpath-Deadline-Ms"));
    long start = record.now();
    String stamp = echo + "X-Umberpath-Response-Stamp: " + instance + "." + id + "\r\n";
    if (callAfterMillis >= 0) {
      Thread.sleep(callAfterMillis);
      String target = "/other/?work=" + request.parameter("callwork", "20");
      long sent = record.now();
      long left = deadlineMillis - (sent - start);
      Client.Outcome outcome = caller.call(target, id + "-call", left);
      calls.add(new Call(id + "-call", sent, left, outcome));
      if (outcome.status() != 200) {
        write(out, "500 Call failed", stamp, "a call failed");
        return "answered 500, since its call failed";
      }
    }
    while (record.now() - start < Math.min(workMillis, deadlineMillis)) {
      Thread.sleep(5);
      if (isDropped(socket)) {
        return "dropped, since its connection was closed";
      }
    }
    if (workMillis > deadlineMillis) {
      write(out, "504 Deadline", stamp, "");
      return "answered 504 at its deadline";
    }
    write(out, "200 OK", stamp, "the bytes of " + id);
    return "answered 200";
  }

  /** Whether the caller has closed the connection; callers send nothing while they wait. */
  private static boolean isDropped(Socket socket) throws IOException {
    socket.setSoTimeout(1);
    try {
      return socket.getInputStream().read() < 0;
    } catch (java.net.SocketTimeoutException open) {
      return false;
    } finally {
      socket.setSoTimeout(0);
    }
  }

  private static void write(OutputStream out, String status, String headers, String body)
      throws IOException {
    String text =
        "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n"
            + body;
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
