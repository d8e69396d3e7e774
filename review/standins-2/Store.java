import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's store as PROTOCOL.md describes it: ranges, keys and watches; no faults. */
final class Store implements AutoCloseable {
  private static final int PAGE_SIZE = 50;

  private record Change(String key, byte[] value, long revision) {
    String json() {
      return value == null
          ? "{\"key\":\"%s\",\"revision\":%d,\"gone\":true}".formatted(key, revision)
          : "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"made\":%d,\"lease\":0}"
              .formatted(key, Base64.getEncoder().encodeToString(value), revision, revision);
    }
  }

  private final HttpServer server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final TreeMap<String, Change> items = new TreeMap<>();
  private final List<Change> changes = new ArrayList<>();
  private long revision;
  private boolean closed;

  Store(String host, int port) throws IOException {
    server = HttpServer.create(new InetSocketAddress(host, port), 200);
    server.setExecutor(threads);
    server.createContext("/v1/kv-range", exchange -> answer(exchange, this::range));
    server.createContext("/v1/kv-watch", exchange -> answer(exchange, this::watch));
    server.createContext("/v1/kv-key", exchange -> answer(exchange, this::key));
    server.start();
  }

  synchronized long put(String key, String value) {
    Change change = new Change(key, value.getBytes(StandardCharsets.UTF_8), ++revision);
    items.put(key, change);
    changes.add(change);
    notifyAll();
    return revision;
  }

  synchronized void remove(String key) {
    items.remove(key);
    changes.add(new Change(key, null, ++revision));
    notifyAll();
  }

  private interface Call {
    String body(Map<String, String> query) throws InterruptedException;
  }

  private void answer(HttpExchange exchange, Call call) throws IOException {
    Map<String, String> query = new HashMap<>();
    String text = exchange.getRequestURI().getQuery();
    for (String part : text == null ? new String[0] : text.split("&")) {
      int equals = part.indexOf('=');
      query.put(part.substring(0, equals), part.substring(equals + 1));
    }
    String body = null;
    try {
      body = call.body(query);
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
    byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(body == null ? 404 : 200, bytes.length == 0 ? -1 : bytes.length);
    if (bytes.length > 0) {
      exchange.getResponseBody().write(bytes);
    }
    exchange.close();
  }

  private synchronized String key(Map<String, String> query) {
    Change item = items.get(query.get("key"));
    return item == null ? null : item.json().replaceFirst("}$", ",\"at\":" + revision + "}");
  }

  private synchronized String range(Map<String, String> query) {
    List<String> page = new ArrayList<>();
    boolean more = false;
    for (Change item : items.tailMap(query.getOrDefault("after", ""), false).values()) {
      if (!item.key().startsWith(query.get("pathPrefix"))) {
        continue;
      }
      if (page.size() == PAGE_SIZE) {
        more = true;
        break;
      }
      page.add(item.json());
    }
    return "{\"items\":[%s],\"more\":%s,\"at\":%d}"
        .formatted(String.join(",", page), more, revision);
  }

  private synchronized String watch(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
    while (!closed && revision <= after && System.nanoTime() < end) {
      wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
    }
    List<String> events =
        changes.stream()
            .filter(each -> each.revision() > after)
            .filter(each -> each.key().startsWith(query.get("pathPrefix")))
            .map(Change::json)
            .toList();
    return "{\"events\":[%s],\"at\":%d}"
        .formatted(String.join(",", events), Math.max(after, revision));
  }

  @Override
  public void close() {
    synchronized (this) {
      closed = true;
      notifyAll();
    }
    server.stop(0);
    threads.shutdownNow();
  }
}
