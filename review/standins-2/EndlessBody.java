import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Faulty backends answer some requests with bytes without end in a body, until the caller closes.
 * The route's timeout is 1.5 s, the clients wait for 6 s. Requests that are unanswered at the
 * timeout must have a final answer half a second later.
 */
final class EndlessBody {
  private static final long TIMEOUT_MILLIS = 1_500;
  private static final long SLACK_MILLIS = 500;
  private static final long DEADLINE_MILLIS = 6_000;
  private static final int ROUNDS = 2;
  private static final int FAULTY_PER_ROUND = 8;
  private static final int SOUND_PER_ROUND = 20;

  /** "Eight or more, and over a quarter". */
  private static final int MIN_OVERDUE = 8;

  private static final long PAUSE_MILLIS = 50;
  private static final String PIECE = "x".repeat(1_000);

  private EndlessBody() {}

  public static void main(String[] arguments) throws Exception {
    Mesh.main(arguments, EndlessBody::isBroken);
  }

  private static boolean isBroken(Record record, Path folder, boolean trouble) throws Exception {
    List<Mesh.Place> places =
        List.of(
            new Mesh.Place("col-a", "desk"),
            new Mesh.Place("col-b", "hub"),
            new Mesh.Place("col-c", "hub"));
    ExecutorService threads = Executors.newCachedThreadPool();
    try (Mesh mesh = new Mesh(record, folder, places)) {
      mesh.store.put("op/config", CONFIGURATION);
      if (trouble) {
        mesh.machines.forEach(machine -> machine.backend.setFault(EndlessBody::answerWithoutEnd));
      }
      mesh.start();
      Thread.sleep(5_000);
      Client client = mesh.client(0, "client 1");
      int unanswered = 0;
      int overdue = 0;
      for (int round = 0; round < ROUNDS; round++) {
        for (Client.Outcome outcome : playRound(client, threads, round)) {
          unanswered += outcome.millis() > TIMEOUT_MILLIS ? 1 : 0;
          overdue += outcome.millis() > TIMEOUT_MILLIS + SLACK_MILLIS ? 1 : 0;
        }
      }
      record.line(
          "%d requests were unanswered at the route's timeout, %d of them still half a second later",
          unanswered, overdue);
      return overdue >= MIN_OVERDUE && overdue > unanswered / 2.0;
    } finally {
      threads.shutdownNow();
    }
  }

  private static List<Client.Outcome> playRound(
      Client client, ExecutorService threads, int round) throws Exception {
    List<Future<Client.Outcome>> sent = new ArrayList<>();
    for (int index = 0; index < SOUND_PER_ROUND; index++) {
      String suffix = round + "-" + index;
      if (index < FAULTY_PER_ROUND) {
        sent.add(threads.submit(() -> send(client, "faulty-" + suffix)));
      }
      sent.add(threads.submit(() -> send(client, "sound-" + suffix)));
      Thread.sleep(100);
    }
    List<Client.Outcome> outcomes = new ArrayList<>();
    for (Future<Client.Outcome> each : sent) {
      outcomes.add(each.get());
    }
    return outcomes;
  }

  private static Client.Outcome send(Client client, String id) {
    return client.send("GET", "/hub/?work=100", id, DEADLINE_MILLIS, null);
  }

  /** Writes a whole head, and then bytes until the caller closes. */
  private static boolean answerWithoutEnd(Message request, Socket connection, OutputStream out)
      throws IOException {
    String id = request.header("X-Umberpath-Attempt-Id");
    if (!id.startsWith("faulty")) {
      return false;
    }
    String head =
        "HTTP/1.1 200 OK\r\nX-Umberpath-Attempt-Id: %s\r\nX-Umberpath-Response-Stamp: %s\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n";
    out.write(head.formatted(id, id).getBytes(StandardCharsets.ISO_8859_1));
    byte[] chunk = ("3e8\r\n" + PIECE + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    try {
      while (true) {
        out.write(chunk);
        Thread.sleep(PAUSE_MILLIS);
      }
    } catch (InterruptedException ended) {
      return true;
    }
  }

  private static final String CONFIGURATION =
      """
      {"version":"r7","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,
       "headerTimeout":"3000ms","idleTimeout":"15000ms"},
       "listeners":[{"host":"review.example","rules":[
        {"name":"r-hub","kind":"safe","targetLatency":"600ms","priority":2,
         "match":{"pathPrefix":"/hub/"},
         "action":{"service":"hub","timeout":"1500ms","maxAttempts":2}}]}],
       "clusters":[{"name":"desk","healthPath":"/healthz","maxConnections":130,"protocol":"h1",
        "tls":false},{"name":"hub","healthPath":"/healthz","maxConnections":130,"protocol":"h1",
        "tls":false}]}
      """;
}
