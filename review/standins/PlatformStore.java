import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's store as PROTOCOL.md describes it: items, pages, watches and one revision counter. */
final class PlatformStore implements AutoCloseable {
  private static final int PAGE_ITEMS = 500;

  private record Item(String key, String value, long revision) {
    String json() {
      String text = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
      return "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"made\":%d,\"lease\":0}"
          .formatted(key, text, revision, revision);
    }
  }

  /** A change; the item is null if the key was removed. */
  private record Event(String key, long revision, Item item) {
    String json() {
      return item != null
          ? item.json()
          : "{\"key\":\"%s\",\"revision\":%d,\"gone\":true}".formatted(key, revision);
    }
  }

  private final HttpServer server;
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
          });
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private long revision = 100;
  private volatile boolean isDown;

  PlatformStore(String ip, int port) throws IOException {
    server = HttpServer.create(new InetSocketAddress(ip, port), 256);
    server.setExecutor(threads);
    server.createContext("/v1/kv-key", exchange -> handle(exchange, this::item));
    server.createContext("/v1/kv-range", exchange -> handle(exchange, this::page));
    server.createContext("/v1/kv-watch", exchange -> handle(exchange, this::watch));
    server.start();
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  synchronized void put(String key, String value) {
    revision++;
    Item item = new Item(key, value, revision);
    items.put(key, item);
    events.add(new Event(key, revision, item));
    notifyAll();
  }

  synchronized void remove(String key) {
    if (items.remove(key) != null) {
      revision++;
      events.add(new Event(key, revision, null));
      notifyAll();
    }
  }

  /** While the store is down it answers 503 to every call. */
  void setDown(boolean down) {
    isDown = down;
    synchronized (this) {
      notifyAll();
    }
  }

  private interface Call {
    String answer(Map<String, String> query) throws InterruptedException;
  }

  private void handle(HttpExchange exchange, Call call) throws IOException {
    try (exchange) {
      String body = isDown ? null : call.answer(query(exchange.getRequestURI()));
      if (isDown || body == null) {
        exchange.sendResponseHeaders(isDown ? 503 : 404, -1);
        return;
      }
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(200, bytes.length);
      try (OutputStream out = exchange.getResponseBody()) {
        out.write(bytes);
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<String, String> query(URI uri) {
    Map<String, String> fields = new HashMap<>();
    if (uri.getRawQuery() != null) {
      for (String field : uri.getRawQuery().split("&")) {
        int equals = field.indexOf('=');
        fields.put(
            field.substring(0, equals),
            URLDecoder.decode(field.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return fields;
  }

  private synchronized String item(Map<String, String> query) {
    Item item = items.get(query.getOrDefault("key", ""));
    return item == null
        ? null
        : item.json().replaceAll("}$", ",\"at\":" + revision + "}");
  }

  private synchronized String page(Map<String, String> query) {
    String prefix = query.getOrDefault("pathPrefix", "");
    String after = query.get("after");
    List<String> page = new ArrayList<>();
    boolean more = false;
    for (Item item : (after == null ? items : items.tailMap(after, false)).values()) {
      if (!item.key().startsWith(prefix)) {
        continue;
      }
      if (page.size() == PAGE_ITEMS) {
        more = true;
        break;
      }
      page.add(item.json());
    }
    return "{\"items\":[%s],\"more\":%b,\"at\":%d}".formatted(String.join(",", page), more, revision);
  }

  private synchronized String watch(Map<String, String> query) throws InterruptedException {
    String prefix = query.getOrDefault("pathPrefix", "");
    long after = Long.parseLong(query.getOrDefault("after", "0"));
    long end = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
    List<String> found = eventsAfter(prefix, after);
    while (found.isEmpty() && !isDown && System.nanoTime() < end) {
      wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
      found = eventsAfter(prefix, after);
    }
    return "{\"events\":[%s],\"at\":%d}".formatted(String.join(",", found), revision);
  }

  private List<String> eventsAfter(String prefix, long after) {
    return events.stream()
        .filter(event -> event.revision() > after && event.key().startsWith(prefix))
        .map(Event::json)
        .toList();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
