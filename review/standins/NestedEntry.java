import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * Another writer puts an entry into the store whose address is a list of lists. Then the
 * configuration changes: a route is added and another one dropped.
 */
final class NestedEntry {
  private static final String SERVICE = "huvo11a";
  private static final String KEPT = Mesh.rule("/lohu930/", "safe", SERVICE, 1500, 2);
  private static final String DROPPED = Mesh.rule("/pufi791/", "non_idempotent", SERVICE, 1200, 2);
  private static final String ADDED = Mesh.rule("/fewo118/", "safe", SERVICE, 1500, 2);
  private static final int DEPTH = 900;
  private static final long CONTACT_MILLIS = 3_000;
  private static final long CONFIG_APPLY_MILLIS = 2_000;
  private static final int ROUNDS = 20;
  private static final long ROUND_MILLIS = 400;

  private final Mesh mesh;
  private final Record record;
  private int broken;
  private int served;
  private int sent;

  private NestedEntry(Mesh mesh, Record record) {
    this.mesh = mesh;
    this.record = record;
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit;
    try (Record record = new Record(Path.of(arguments[1]).resolve("record.txt"));
        Mesh mesh = new Mesh(Path.of(arguments[0]), record, List.of(SERVICE, SERVICE, SERVICE))) {
      exit = new NestedEntry(mesh, record).run(trouble);
      record.add("end", "case", "exit " + exit);
    }
    System.exit(exit);
  }

  private int run(boolean trouble) throws IOException, InterruptedException {
    mesh.configure(7, List.of(SERVICE), KEPT, DROPPED);
    for (int index = 0; index < mesh.nodes.size(); index++) {
      Backend[] self = new Backend[1];
      self[0] =
          mesh.startBackend(
              index,
              (request, connection) -> {
                self[0].ran(request, connection);
                Thread.sleep(20);
                connection.answer(request, "quote " + request.id());
              });
    }
    mesh.startNodes();
    if (!mesh.awaitReady(20_000)) {
      return 2;
    }
    Thread.sleep(CONTACT_MILLIS + 1_000);
    for (Mesh.Node node : mesh.nodes) {
      if (send(node, "GET", "/lohu930/2f") != 200 || send(node, "POST", "/pufi791/2f") != 200) {
        return 2;
      }
    }
    if (trouble) {
      String lists = "[".repeat(DEPTH) + "]".repeat(DEPTH);
      mesh.store.put("servers/i-02d9e6b4", "{\"address\":" + lists + "}");
      record.add("entry", "store", "servers/i-02d9e6b4, its address is " + DEPTH + " lists in each other");
    }
    Thread.sleep(1_000);
    mesh.configure(9, List.of(SERVICE), KEPT, ADDED);
    Thread.sleep(CONFIG_APPLY_MILLIS + 500);
    for (int round = 0; round < ROUNDS; round++) {
      for (Mesh.Node node : mesh.nodes) {
        checkAdded(node);
        checkDropped(node);
      }
      Thread.sleep(ROUND_MILLIS);
    }
    if (trouble) {
      showRestart();
    }
    record.add("total", "clients", "requests " + sent + ", served " + served + ", broken " + broken);
    return broken > 0 ? 1 : 0;
  }

  private void checkAdded(Mesh.Node node) throws IOException {
    int status = send(node, "GET", "/fewo118/2f");
    if (status == 404) {
      broken++;
      record.add("BROKEN", "CONFIG", "node-" + (node.index + 1) + " refuses a route of r9 with 404");
    }
  }

  private void checkDropped(Mesh.Node node) throws IOException {
    int status = send(node, "POST", "/pufi791/2f");
    if (status == 200) {
      broken++;
      record.add("BROKEN", "CONFIG", "node-" + (node.index + 1) + " runs a request on a route that r9 dropped");
    }
  }

  /** Not judged: whether a restart helps. */
  private void showRestart() throws IOException, InterruptedException {
    Mesh.Node node = mesh.nodes.get(0);
    node.stop();
    node.process.waitFor();
    node.start();
    long end = record.millis() + 15_000;
    while (!node.isReady() && record.millis() < end) {
      Thread.sleep(200);
    }
    record.add("restarted", "node-1", node.isReady() ? "ready" : "not ready after 15 s");
  }

  private int send(Mesh.Node node, String method, String target) throws IOException {
    String id = "%016x".formatted(0x9c41d07be2b00000L + sent++);
    try (Client client = node.client()) {
      record.add("send", "client", "id=%s %s %s to node-%d".formatted(id, method, target, node.index + 1));
      client.write(Client.head(method, target, Mesh.HOST, id, 1_500) + "Content-Length: 0\r\n\r\n");
      Client.Answer answer = client.read();
      record.add("answer", "client", "id=" + id + " " + answer);
      served += answer.status() == 200 ? 1 : 0;
      return answer.status();
    }
  }
}
