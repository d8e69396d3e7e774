import java.nio.file.Path;
import java.util.List;

/**
 * The platform moves its store to another address. It serves at both for 10 s, changes all settings
 * files at the beginning of that time and sends SIGHUP. Then the operator moves a route to another
 * service. Requests sent later than configApply (2 s) after the store's acknowledgement must not be
 * run by the old service.
 */
final class StoreMoves {
  private static final long OVERLAP_MILLIS = 10_000;

  /** The time after which a machine is in touch again. */
  private static final long CONTACT_MILLIS = 3_000;

  private static final long CONFIG_APPLY_MILLIS = 2_000;
  private static final long DEADLINE_MILLIS = 2_000;
  private static final int ROUNDS = 20;

  private StoreMoves() {}

  public static void main(String[] arguments) throws Exception {
    Mesh.main(arguments, StoreMoves::isBroken);
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
      Runnable end = trouble ? mesh.moveStore() : () -> {};
      Thread.sleep(OVERLAP_MILLIS);
      end.run();
      record.line("the service at the former address has ended, if the store has moved");
      Thread.sleep(2 * CONTACT_MILLIS);
      mesh.store.put("op/config", configuration(8, "new"));
      record.line("the store has acknowledged r8: /move/ goes to 'new'");
      Thread.sleep(CONFIG_APPLY_MILLIS + 1_000);
      int after = play(mesh, "after");
      record.line(
          "from 3 s after the acknowledgement the old service ran %d of %d requests",
          after, ROUNDS * places.size());
      return after > 0;
    }
  }

  /** Sends a request at each machine in turn; returns how many the old service ran. */
  private static int play(Mesh mesh, String name) throws InterruptedException {
    for (int round = 0; round < ROUNDS; round++) {
      for (int index = 0; index < mesh.machines.size(); index++) {
        Client client = mesh.client(index, "client " + (index + 1));
        client.send("GET", "/move/", id(name, index, round), DEADLINE_MILLIS, null);
      }
      Thread.sleep(100);
    }
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
