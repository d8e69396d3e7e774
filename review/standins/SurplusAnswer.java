import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A faulty backend sends more bytes behind a whole answer. They arrive while the next request on
 * that connection is at work, and read as the answer to a request without an id.
 */
final class SurplusAnswer {
  private static final String SERVICE = "huvo11a";
  private static final int REQUESTS = 200;
  private static final String SURPLUS =
      "HTTP/1.1 400 Bad Request\r\nX-Umberpath-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

  public static void main(String[] arguments) throws Exception {
    Path folder = Path.of(arguments[1]);
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit;
    try (Record record = new Record(folder.resolve("record.txt"));
        Mesh mesh = new Mesh(Path.of(arguments[0]), record, List.of(SERVICE, SERVICE))) {
      exit = run(mesh, record, trouble);
      record.add("end", "case", "exit " + exit);
    }
    System.exit(exit);
  }

  private static int run(Mesh mesh, Record record, boolean trouble)
      throws IOException, InterruptedException {
    mesh.configure(7, List.of(SERVICE), Mesh.rule("/pufi791/", "non_idempotent", SERVICE, 1200, 2));
    AtomicInteger answers = new AtomicInteger();
    for (int index = 0; index < 2; index++) {
      Backend[] self = new Backend[1];
      self[0] =
          mesh.startBackend(
              index, (request, connection) -> answer(self[0], request, connection, trouble, answers));
    }
    mesh.startNodes();
    if (!mesh.awaitReady(20_000)) {
      return 2;
    }
    Thread.sleep(1_500);
    int broken = 0;
    int served = 0;
    for (int number = 0; number < REQUESTS; number++) {
      String id = "%016x".formatted(0x9c41d07be2a30000L + number);
      Client.Answer answer;
      try (Client client = mesh.nodes.get(number % 2).client()) {
        record.add("send", "client", "id=" + id + " POST to node-" + (1 + number % 2));
        client.write(
            Client.head("POST", "/pufi791/2f", Mesh.HOST, id, 2_000) + "Content-Length: 3\r\n\r\nabc");
        answer = client.read();
      }
      record.add("answer", "client", "id=" + id + " " + answer);
      Thread.sleep(20);
      List<String> runs = record.runsOf(id);
      served += answer.status() == 200 ? 1 : 0;
      if (runs.size() > 1) {
        broken++;
        record.add("BROKEN", "TWICE", "id=" + id + " ran on " + runs);
      }
      if (!runs.isEmpty() && (answer.status() == 503 || answer.status() == 429)) {
        broken++;
        record.add("BROKEN", "REFUSED", "id=" + id + " ran on " + runs + ", answer " + answer.status());
      }
    }
    record.add("total", "client", "requests " + REQUESTS + ", served " + served + ", broken " + broken);
    if (served == 0) {
      return 2;
    }
    return broken > 0 ? 1 : 0;
  }

  private static void answer(
      Backend backend,
      Backend.Request request,
      Backend.Connection connection,
      boolean trouble,
      AtomicInteger answers)
      throws IOException, InterruptedException {
    backend.ran(request, connection);
    if (trouble && connection.requests > 1 && answers.incrementAndGet() % 10 == 0) {
      Thread.sleep(5);
      backend.note("surplus", "400 without an id, while id=" + request.id() + " is at work");
      connection.write(SURPLUS);
    }
    Thread.sleep(20);
    connection.answer(request, "frame cut: " + request.id());
  }
}
