import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send safe requests behind one another on kept connections. A faulty backend breaks off 2
 * in 100 of its answers. The node must not close the connection of a request that it has passed on
 * to a sound backend without an answer, more than three times.
 */
final class BehindBrokenAnswer {
  private static final int BROKEN_ANSWERS = 4;
  private static final int ALLOWED_CLOSES = 3;
  private static final int MAX_TRIES = 60;
  private static final int BEHIND = 2;
  private static final long DEADLINE_MILLIS = 2_500;

  /** Answers of the faulty backend for each one that it breaks off: 2 in 100. */
  private static final int ANSWERS_FOR_EACH = 50;

  private static final int FAULTY = 2;

  private final Record record;
  private final Mesh mesh;
  private final Path folder;
  private final AtomicInteger broken = new AtomicInteger();
  private final AtomicInteger answers = new AtomicInteger();

  private BehindBrokenAnswer(Record record, Mesh mesh, Path folder) {
    this.record = record;
    this.mesh = mesh;
    this.folder = folder;
  }

  public static void main(String[] arguments) throws Exception {
    Mesh.main(arguments, BehindBrokenAnswer::isBroken);
  }

  private static boolean isBroken(Record record, Path folder, boolean trouble) throws Exception {
    List<Mesh.Place> places =
        List.of(
            new Mesh.Place("dar-a", "list"),
            new Mesh.Place("dar-b", "list"),
            new Mesh.Place("dar-a", "page"),
            new Mesh.Place("dar-b", "page"),
            new Mesh.Place("dar-c", "page"));
    try (Mesh mesh = new Mesh(record, folder, places)) {
      mesh.store.put("op/config", CONFIGURATION);
      BehindBrokenAnswer tried = new BehindBrokenAnswer(record, mesh, folder);
      for (int index = 2; index < places.size(); index++) {
        boolean isFaulty = trouble && index == FAULTY;
        mesh.machines
            .get(index)
            .backend
            .setFault((request, socket, out) -> tried.answer(request, out, isFaulty));
      }
      mesh.start();
      Thread.sleep(4_000);
      return tried.play(trouble);
    }
  }

  private boolean play(boolean trouble) throws Exception {
    AtomicInteger stop = new AtomicInteger();
    ExecutorService threads = Executors.newCachedThreadPool();
    List<Future<?>> steady = new ArrayList<>();
    for (int worker = 0; worker < 8; worker++) {
      String name = "steady-" + worker;
      steady.add(threads.submit(() -> sendSteadily(name, stop)));
    }
    int closed = 0;
    for (int attempt = 0; attempt < MAX_TRIES && broken.get() < BROKEN_ANSWERS; attempt++) {
      closed += sendBehindOneAnother(attempt);
      if (!trouble && attempt >= 12) {
        break;
      }
    }
    // The share of broken answers is that of the whole time, so the sound ones go on.
    while (trouble && answers.get() < ANSWERS_FOR_EACH * broken.get()) {
      Thread.sleep(100);
    }
    stop.set(1);
    for (Future<?> each : steady) {
      each.get();
    }
    threads.shutdownNow();
    record.line(
        "the faulty backend broke off %d of its %d answers; %d requests that were passed on to sound"
            + " backends ended without an answer on a closed connection",
        broken.get(), answers.get(), closed);
    if (trouble && broken.get() < BROKEN_ANSWERS) {
      throw new IllegalStateException("too few answers were broken off");
    }
    return closed > ALLOWED_CLOSES;
  }

  private Object sendSteadily(String name, AtomicInteger stop) throws Exception {
    Record quiet = new Record(folder.resolve(name));
    Client client = new Client(quiet, name, mesh.machines.get(0).host, mesh.outbound());
    for (int index = 0; stop.get() == 0; index++) {
      client.send("GET", "/page/?work=5", name + "-" + index, DEADLINE_MILLIS, null);
    }
    quiet.close();
    return null;
  }

  /**
   * Sends a request, reads its answer, and sends further ones behind one another on the same
   * connection; returns how many that ran at a sound backend have no answer at its end.
   */
  private int sendBehindOneAnother(int attempt) throws Exception {
    int answered = 0;
    String first = "break-" + attempt;
    long start = record.now();
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(mesh.machines.get(0).host, mesh.outbound()), 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout((int) DEADLINE_MILLIS);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      out.write(request("/list/?work=5", "kept-" + attempt));
      readAnswer(in);
      record.line("client sends %s and %d requests behind it", first, BEHIND);
      out.write(request("/page/?work=5", first));
      for (int index = 0; index < BEHIND; index++) {
        out.write(request("/list/?work=700", "behind-" + attempt + "-" + index));
      }
      readAnswer(in);
      for (; answered < BEHIND; answered++) {
        readAnswer(in);
      }
      record.line("client has all answers of %s and those behind it", first);
    } catch (IOException closed) {
      record.line(
          "the connection of %s ended after %d ms, %d requests behind it were answered: %s",
          first, record.now() - start, answered, closed.getMessage());
    }
    Thread.sleep(300);
    int lost = 0;
    for (int index = answered; index < BEHIND; index++) {
      lost += ranAtSoundBackend("behind-" + attempt + "-" + index) ? 1 : 0;
    }
    return lost;
  }

  private boolean ranAtSoundBackend(String id) {
    for (int index = 0; index < 2; index++) {
      Backend.Run run = mesh.machines.get(index).backend.runs.get(id);
      if (run != null) {
        record.line("LOST: %s ran at %s, which %s", id, run.instance, run.end);
        return true;
      }
    }
    return false;
  }

  private static byte[] request(String target, String id) {
    return ("GET %s HTTP/1.1\r\nHost: review.example\r\nX-Umberpath-Attempt-Id: %s\r\n"
            + "X-Umberpath-Deadline-Ms: %d\r\n\r\n")
        .formatted(target, id, DEADLINE_MILLIS)
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  private static void readAnswer(InputStream in) throws IOException {
    Message answer = Message.read(in);
    if (answer == null || answer.readBody(in) == null) {
      throw new IOException("the node has closed the connection");
    }
  }

  /** Answers in chunks, with a pause in the middle; breaks off there if it is to. */
  private boolean answer(Message request, OutputStream out, boolean isFaulty) throws IOException {
    String id = request.header("X-Umberpath-Attempt-Id");
    if (!id.startsWith("break")) {
      answers.addAndGet(isFaulty ? 1 : 0);
      return false;
    }
    String head =
        "HTTP/1.1 200 OK\r\nX-Umberpath-Attempt-Id: %s\r\nX-Umberpath-Response-Stamp: %s\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n";
    out.write(head.formatted(id, id).getBytes(StandardCharsets.ISO_8859_1));
    pause();
    if (isFaulty) {
      answers.incrementAndGet();
      broken.incrementAndGet();
      record.line("the faulty backend breaks off its answer to %s", id);
      return true;
    }
    out.write("4\r\nlast\r\n0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
    return true;
  }

  private static void pause() {
    try {
      Thread.sleep(200);
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private static final String CONFIGURATION =
      """
      {"version":"r7","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,
       "headerTimeout":"3000ms","idleTimeout":"15000ms"},
       "listeners":[{"host":"review.example","rules":[
        {"name":"r-page","kind":"safe","targetLatency":"400ms","priority":1,
         "match":{"pathPrefix":"/page/"},
         "action":{"service":"page","timeout":"2500ms","maxAttempts":2}},
        {"name":"r-list","kind":"safe","targetLatency":"1000ms","priority":1,
         "match":{"pathPrefix":"/list/"},
         "action":{"service":"list","timeout":"2500ms","maxAttempts":2}}]}],
       "clusters":[{"name":"page","healthPath":"/healthz","maxConnections":130,"protocol":"h1",
        "tls":false},{"name":"list","healthPath":"/healthz","maxConnections":130,"protocol":"h1",
        "tls":false}]}
      """;
}
