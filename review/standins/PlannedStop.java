import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer's entry lies in the store: its service isn't in the configuration, and its address
 * is an IPv6 address. Then a node gets SIGTERM while its clients' requests are at work.
 */
final class PlannedStop {
  private static final String SERVICE = "huvo11a";
  private static final long CONTACT_MILLIS = 3_000;
  private static final long GRACE_MILLIS = 6_000;
  private static final long LOSS_SLACK_MILLIS = 200;
  private static final long WORK_MILLIS = 2_500;
  private static final int CLIENTS = 8;
  private static final String FOREIGN =
      """
      {"address":"[::1]:8080","born":1764800000000,"info":{"service":"agent","version":"v1","zone":"col-a","slots":1},"status":{"state":"ready","sequence":1,"warmupLeft":"0ms"}}""";

  private final Mesh mesh;
  private final Record record;
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger broken = new AtomicInteger();

  private PlannedStop(Mesh mesh, Record record) {
    this.mesh = mesh;
    this.record = record;
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit;
    try (Record record = new Record(Path.of(arguments[1]).resolve("record.txt"));
        Mesh mesh = new Mesh(Path.of(arguments[0]), record, List.of(SERVICE, SERVICE, SERVICE))) {
      exit = new PlannedStop(mesh, record).run(trouble);
      record.add("end", "case", "exit " + exit);
    }
    System.exit(exit);
  }

  private int run(boolean trouble) throws IOException, InterruptedException {
    mesh.configure(
        7,
        List.of(SERVICE),
        Mesh.rule("/lohu930/", "safe", SERVICE, 5_000, 2),
        Mesh.rule("/pufi791/", "non_idempotent", SERVICE, 5_000, 2));
    for (int index = 0; index < mesh.nodes.size(); index++) {
      Backend[] self = new Backend[1];
      self[0] =
          mesh.startBackend(
              index,
              (request, connection) -> {
                self[0].ran(request, connection);
                Thread.sleep(WORK_MILLIS);
                connection.answer(request, "quote " + request.id());
              });
    }
    if (trouble) {
      mesh.store.put("servers/agent-7", FOREIGN);
      record.add("entry", "store", "servers/agent-7 " + FOREIGN);
    }
    mesh.startNodes();
    if (!mesh.awaitReady(20_000)) {
      return 2;
    }
    Thread.sleep(CONTACT_MILLIS + 1_000);
    Mesh.Node stopped = mesh.nodes.get(0);
    List<Thread> clients = new ArrayList<>();
    for (int number = 0; number < CLIENTS; number++) {
      int client = number;
      Thread thread = new Thread(() -> send(stopped, client));
      thread.start();
      clients.add(thread);
    }
    Thread.sleep(400);
    stopped.stop();
    long begin = record.millis();
    boolean ended = stopped.process.waitFor(GRACE_MILLIS + 1_000, TimeUnit.MILLISECONDS);
    record.add("ended", "node-1", ended ? record.millis() - begin + " ms after SIGTERM" : "not in time");
    for (Thread thread : clients) {
      thread.join();
    }
    record.add("total", "clients", "requests %d, served %d, broken %d".formatted(CLIENTS, served.get(), broken.get()));
    if (broken.get() > 0) {
      return 1;
    }
    return served.get() == CLIENTS ? 0 : 2;
  }

  private void send(Mesh.Node node, int number) {
    String id = "%016x".formatted(0x9c41d07be2c00000L + number);
    String target = number % 2 == 0 ? "GET /lohu930/2f" : "POST /pufi791/2f";
    try (Client client = node.client()) {
      record.add("send", "client", "id=" + id + " " + target + " to node-1");
      String[] words = target.split(" ");
      client.write(Client.head(words[0], words[1], Mesh.HOST, id, 6_000) + "Content-Length: 0\r\n\r\n");
      long sentMillis = record.millis();
      Client.Answer answer = client.read();
      record.add("answer", "client", "id=" + id + " " + answer);
      boolean isAtWork = !record.runsOf(id).isEmpty();
      boolean wasHeld = record.millis() > sentMillis + LOSS_SLACK_MILLIS;
      if (answer.status() == 200 && answer.isWhole()) {
        served.incrementAndGet();
      } else if (!answer.isWhole() && (isAtWork || wasHeld)) {
        broken.incrementAndGet();
        String where = isAtWork ? " while its backend was at work" : " while the node held it";
        record.add("BROKEN", "LOST", "id=" + id + " ended without an answer" + where);
      }
    } catch (IOException failed) {
      record.add("failed", "client", "id=" + id + " " + failed);
    }
  }
}
