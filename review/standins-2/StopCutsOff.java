import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * A planned stop (SIGTERM, grace 6 s) of the only node of its zone. Its backend works on a request
 * that ends before the cut-off. Clients beside it go on sending, since fewer than half of the
 * zone's nodes are in, and the backend makes calls. Requests sent more than 3 s after the SIGTERM
 * must not be broken off while their backend is at work.
 */
final class StopCutsOff {
  private static final long GRACE_MILLIS = 6_000;
  private static final long SIGTERM_SLACK_MILLIS = 3_000;
  private static final int STOPPED = 0;

  /** A request of the case and how it ended. */
  private record Sent(String id, long sentMillis, long deadlineMillis, Client.Outcome outcome) {}

  private StopCutsOff() {}

  public static void main(String[] arguments) throws Exception {
    Mesh.main(arguments, StopCutsOff::isBroken);
  }

  private static boolean isBroken(Record record, Path folder, boolean trouble) throws Exception {
    List<Mesh.Place> places =
        List.of(
            new Mesh.Place("neg-a", "desk"),
            new Mesh.Place("col-a", "hub"),
            new Mesh.Place("col-a", "desk"),
            new Mesh.Place("col-b", "hub"));
    ExecutorService threads = Executors.newCachedThreadPool();
    try (Mesh mesh = new Mesh(record, folder, places)) {
      mesh.store.put("op/config", CONFIGURATION);
      mesh.start();
      Thread.sleep(5_000);
      return play(record, mesh, threads, trouble);
    } finally {
      threads.shutdownNow();
    }
  }

  private static boolean play(
      Record record, Mesh mesh, ExecutorService threads, boolean trouble) throws Exception {
    Client beside = mesh.client(STOPPED, "client 1");
    Client elsewhere = mesh.client(3, "client 4");
    List<Future<Sent>> all = new ArrayList<>();
    for (int index = 0; index < 6; index++) {
      String id = "before-" + index;
      all.add(threads.submit(send(record, beside, "GET", "/hub/?work=1700", id, 4_000)));
    }
    for (Future<Sent> each : all) {
      each.get();
    }
    all.clear();
    long stopMillis = record.now();
    if (trouble) {
      mesh.signal(STOPPED, "TERM");
    }
    Thread.sleep(800);
    // Taken by another machine; some of them run at the backend beside the node that stops. They
    // end before the last sixth of the grace time.
    for (int index = 0; index < 8; index++) {
      String id = "long-" + index;
      all.add(threads.submit(send(record, elsewhere, "GET", "/desk/?work=3900", id, 6_000)));
    }
    // Those that run beside the node that stops make a call through it 3.4 s after the SIGTERM.
    for (int index = 0; index < 4; index++) {
      String id = "parent-" + index;
      String target = "/desk/?work=3900&call=2600&callwork=1700";
      all.add(threads.submit(send(record, elsewhere, "GET", target, id, 6_000)));
    }
    // From 3.1 s after the SIGTERM to 3.9 s after it.
    List<Future<Sent>> late = new ArrayList<>();
    for (int index = 0; index < 9; index++) {
      Thread.sleep(Math.max(0, stopMillis + 3_100 + 100 * index - record.now()));
      boolean order = index % 3 == 2;
      String target = order ? "/order/?work=1690" : "/hub/?work=1700";
      String method = order ? "POST" : "GET";
      long deadline = order ? 2_000 : 3_000;
      late.add(threads.submit(send(record, beside, method, target, "late-" + index, deadline)));
    }
    if (trouble) {
      Thread.sleep(Math.max(0, stopMillis + GRACE_MILLIS - record.now()));
      if (mesh.machines.get(STOPPED).process.isAlive()) {
        mesh.signal(STOPPED, "KILL");
      } else {
        record.line("node %d has ended by itself", STOPPED + 1);
      }
    }
    for (Future<Sent> each : all) {
      each.get();
    }
    int requests = 0;
    for (Future<Sent> each : late) {
      requests += isBrokenOff(record, mesh, each.get(), stopMillis) ? 1 : 0;
    }
    int calls = 0;
    for (Backend.Call call : mesh.machines.get(STOPPED).backend.calls) {
      Sent sent = new Sent(call.id(), call.sentMillis(), call.deadlineMillis(), call.outcome());
      calls += isBrokenOff(record, mesh, sent, stopMillis) ? 1 : 0;
    }
    record.line(
        "%d requests of clients and %d calls of the backend were broken off while a backend was at"
            + " work on them",
        requests, calls);
    // The calls work longer than the sheet has it, so they are recorded and not judged.
    return requests > 0;
  }

  private static Callable<Sent> send(
      Record record, Client client, String method, String target, String id, long deadline) {
    byte[] body = method.equals("POST") ? "an order".getBytes() : null;
    return () -> {
      long sent = record.now();
      return new Sent(id, sent, deadline, client.send(method, target, id, deadline, body));
    };
  }

  /**
   * LOST: passed on to a backend, and ended without its answer, before the deadline and the route's
   * timeout, although the backend neither answered nor broke off.
   */
  private static boolean isBrokenOff(Record record, Mesh mesh, Sent sent, long stopMillis) {
    Backend.Run run = null;
    for (Mesh.Machine machine : mesh.machines) {
      run = run == null ? machine.backend.runs.get(sent.id()) : run;
    }
    Client.Outcome outcome = sent.outcome();
    boolean isAnswered = outcome.complete() && outcome.stamp() != null;
    boolean isInTime = outcome.millis() < sent.deadlineMillis() - 200;
    boolean isLate = sent.sentMillis() > stopMillis + SIGTERM_SLACK_MILLIS;
    boolean wasDropped = run != null && run.end.startsWith("dropped");
    boolean broken = wasDropped && isLate && isInTime && !isAnswered;
    if (broken) {
      record.line(
          "LOST: %s, sent %d ms after the SIGTERM, run from %d ms, ended by the node after %d ms"
              + " with status %d",
          sent.id(), sent.sentMillis() - stopMillis, run.beganMillis - stopMillis,
          outcome.millis(), outcome.status());
    }
    return broken;
  }

  private static final String CONFIGURATION =
      """
      {"version":"r7","limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,
       "headerTimeout":"3000ms","idleTimeout":"15000ms"},
       "listeners":[{"host":"review.example","rules":[
        {"name":"r-desk","kind":"safe","targetLatency":"2500ms","priority":2,
         "match":{"pathPrefix":"/desk/"},
         "action":{"service":"desk","timeout":"6000ms","maxAttempts":2}},
        {"name":"r-hub","kind":"safe","targetLatency":"2500ms","priority":2,
         "match":{"pathPrefix":"/hub/"},
         "action":{"service":"hub","timeout":"6000ms","maxAttempts":2}},
        {"name":"r-other","kind":"safe","targetLatency":"2500ms","priority":2,
         "match":{"pathPrefix":"/other/"},
         "action":{"service":"hub","timeout":"6000ms","maxAttempts":2}},
        {"name":"r-order","kind":"non_idempotent","targetLatency":"2500ms","priority":1,
         "match":{"pathPrefix":"/order/"},
         "action":{"service":"hub","timeout":"6000ms","maxAttempts":2}}]}],
       "clusters":[{"name":"desk","healthPath":"/healthz","maxConnections":130,"protocol":"h1",
        "tls":false},{"name":"hub","healthPath":"/healthz","maxConnections":130,"protocol":"h1",
        "tls":false}]}
      """;
}
