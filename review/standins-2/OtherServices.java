import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Another writer keeps the servers of its own services in the same store: whole entries, of which
 * the service is not named in the configuration. Meanwhile the operator moves a route to another
 * service. Requests sent later than configApply (2 s) after the store's acknowledgement must not be
 * run by the old service.
 */
final class OtherServices {
  private static final int ENTRIES = 7_000;
  private static final int ENTRY_BYTES = 16_000;

  /** The store takes 400 writes a second. */
  private static final int WRITES_PER_SECOND = 400;

  private static final long CONFIG_APPLY_MILLIS = 2_000;
  private static final long DEADLINE_MILLIS = 2_000;
  private static final int ROUNDS = 10;

  private OtherServices() {}

  public static void main(String[] arguments) throws Exception {
    Mesh.main(arguments, OtherServices::isBroken);
  }

  private static boolean isBroken(Record record, Path folder, boolean trouble) throws Exception {
    List<Mesh.Place> places =
        List.of(
            new Mesh.Place("col-a", "old"),
            new Mesh.Place("col-b", "new"),
            new Mesh.Place("col-c", "new"));
    try (Mesh mesh = new Mesh(record, folder, places)) {
      mesh.store.put("op/config", configuration(7, "old"));
      mesh.start();
      Thread.sleep(3_000);
      int before = play(mesh, "before");
      record.line("before the change the old service ran %d requests", before);
      if (before == 0) {
        throw new IllegalStateException("the first configuration was not in force");
      }
      if (trouble) {
        writeOthers(mesh);
        record.line("another writer has put %d entries of %d bytes", ENTRIES, ENTRY_BYTES);
        Thread.sleep(5_000);
      }
      mesh.store.put("op/config", configuration(8, "new"));
      record.line("the store has acknowledged r8: /move/ goes to 'new'");
      Thread.sleep(CONFIG_APPLY_MILLIS + 1_000);
      int after = play(mesh, "after");
      for (int index = 0; index < mesh.machines.size(); index++) {
        record.line("node %d: alive %s, ready %s", index + 1,
            mesh.machines.get(index).process.isAlive(), mesh.isReady(index));
      }
      record.line(
          "from 3 s after the acknowledgement the old service ran %d of %d requests",
          after, ROUNDS * places.size());
      return after > 0;
    }
  }

  private static void writeOthers(Mesh mesh) throws InterruptedException {
    for (int index = 0; index < ENTRIES; index++) {
      String entry =
          ("{\"address\":\"10.77.%d.%d:8080\",\"info\":{\"service\":\"elsewhere\",\"version\":\"%s\","
                  + "\"zone\":\"far\",\"slots\":6},\"status\":{\"state\":\"ready\",\"sequence\":1,"
                  + "\"warmupLeft\":\"0ms\"}}")
              .formatted(index / 250, index % 250 + 1, "v".repeat(ENTRY_BYTES - 200));
      mesh.store.put("servers/other-" + index, entry);
      if (index % (WRITES_PER_SECOND / 10) == 0) {
        Thread.sleep(100);
      }
    }
  }

  /** Sends requests at all machines at once, round by round; returns how many the old one ran. */
  private static int play(Mesh mesh, String name) throws Exception {
    ExecutorService threads = Executors.newCachedThreadPool();
    for (int round = 0; round < ROUNDS; round++) {
      List<Future<?>> sent = new ArrayList<>();
      for (int index = 0; index < mesh.machines.size(); index++) {
        Client client = mesh.client(index, "client " + (index + 1));
        String id = id(name, index, round);
        sent.add(threads.submit(() -> client.send("GET", "/move/", id, DEADLINE_MILLIS, null)));
      }
      for (Future<?> each : sent) {
        each.get();
      }
    }
    threads.shutdownNow();
    int ranByOld = 0;
    for (int round = 0; round < ROUNDS; round++) {
      for (int index = 0; index < mesh.machines.size(); index++) {
        ranByOld += mesh.machines.get(0).backend.runs.containsKey(id(name, index, round)) ? 1 : 0;
      }
    }
    return ranByOld;
  }

  private static String id(String name, int index, int round) {
    return name + "-" + (index + 1) + "-" + round;
  }

  private static String configuration(int version, String service) {
    return """
    {"version":"r%d","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,
     "headerTimeout":"3000ms","idleTimeout":"15000ms"},
     "listeners":[{"host":"review.example","rules":[
      {"name":"r-move","kind":"safe","targetLatency":"600ms","priority":2,
       "match":{"pathPrefix":"/move/"},
       "action":{"service":"%s","timeout":"1500ms","maxAttempts":2}}]}],
     "clusters":[{"name":"old","healthPath":"/healthz","maxConnections":130,"protocol":"h1",
      "tls":false},{"name":"new","healthPath":"/healthz","maxConnections":130,"protocol":"h1",
      "tls":false}]}
    """
        .formatted(version, service);
  }
}
