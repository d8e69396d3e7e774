package io.umberpath.node.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Measures the latency that the two hops add to a call on loopback; run by hand. Direct and proxied
 * calls run concurrently at the same rate. Each call has an intended start from which its latency
 * is counted, so that a stalled client does not hide the calls it did not make (coordinated
 * omission).
 *
 * <p>Arguments: calls per second of each kind, seconds, client threads of each kind.
 */
final class LatencyBenchmark {
  private static final byte[] RESPONSE =
      "HTTP/1.1 200 OK\r\nContent-Length: 64\r\nContent-Type: text/plain\r\n\r\n"
          .concat("x".repeat(64))
          .getBytes(StandardCharsets.US_ASCII);
  private static final byte[] REQUEST =
      ("GET /stalls/42?day=mon HTTP/1.1\r\nHost: mesh\r\nAccept: text/plain\r\n"
              + "User-Agent: trial\r\n\r\n")
          .getBytes(StandardCharsets.US_ASCII);
  private static final long WARM_UP_SECONDS = 6;

  private LatencyBenchmark() {}

  /** Runs the benchmark and prints percentiles in microseconds. */
  public static void main(String[] arguments) throws Exception {
    int rate = Integer.parseInt(arguments[0]);
    int seconds = Integer.parseInt(arguments[1]);
    int threads = Integer.parseInt(arguments[2]);
    try (ServerSocket backend = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"))) {
      daemon(() -> accept(backend));
      Process node = TransferTest.startNode(backend.getLocalPort(), 256);
      try {
        int edge = TransferTest.portOf(node);
        Histogram direct = new ConcurrentHistogram(TimeUnit.SECONDS.toNanos(10), 3);
        Histogram proxied = new ConcurrentHistogram(TimeUnit.SECONDS.toNanos(10), 3);
        Duration cpuBefore = cpu(node);
        run(rate, seconds, threads, backend.getLocalPort(), direct, edge, proxied);
        print("direct ", direct);
        print("proxied", proxied);
        long calls = rate * (WARM_UP_SECONDS + seconds);
        System.out.printf(
            "node CPU per call, both hops and warm-up: %.0f us%n",
            cpu(node).minus(cpuBefore).toNanos() / 1e3 / calls);
        System.out.printf(
            "added p50 %.0f p99 %.0f us%n",
            (proxied.getValueAtPercentile(50) - direct.getValueAtPercentile(50)) / 1e3,
            (proxied.getValueAtPercentile(99) - direct.getValueAtPercentile(99)) / 1e3);
      } finally {
        node.destroy();
      }
    }
  }

  private static Duration cpu(Process process) {
    return process.toHandle().info().totalCpuDuration().orElse(Duration.ZERO);
  }

  private static void run(
      int rate, int seconds, int threads, int directPort, Histogram direct, int edge, Histogram via)
      throws InterruptedException {
    long start = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(300);
    long end = start + TimeUnit.SECONDS.toNanos(WARM_UP_SECONDS + seconds);
    List<Thread> clients = new ArrayList<>();
    for (int index = 0; index < threads; index++) {
      long interval = TimeUnit.SECONDS.toNanos(1) * threads / rate;
      long first = start + interval * index / threads;
      clients.add(daemon(() -> call(directPort, first, interval, end, direct)));
      clients.add(daemon(() -> call(edge, first + interval / 2, interval, end, via)));
    }
    for (Thread client : clients) {
      client.join();
    }
  }

  private static void call(int port, long first, long interval, long end, Histogram histogram) {
    long recordFrom = first + TimeUnit.SECONDS.toNanos(WARM_UP_SECONDS);
    try (Socket socket = new Socket("127.0.0.1", port)) {
      socket.setTcpNoDelay(true);
      InputStream input = socket.getInputStream();
      OutputStream output = socket.getOutputStream();
      byte[] buffer = new byte[4096];
      for (long intended = first; intended < end; intended += interval) {
        while (System.nanoTime() < intended) {
          LockSupport.parkNanos(intended - System.nanoTime());
        }
        long began = System.nanoTime();
        output.write(REQUEST);
        readResponse(input, buffer);
        if (intended >= recordFrom) {
          histogram.recordValueWithExpectedInterval(System.nanoTime() - began, interval);
        }
      }
    } catch (IOException error) {
      throw new IllegalStateException("client failed", error);
    }
  }

  private static void readResponse(InputStream input, byte[] buffer) throws IOException {
    int length = 0;
    while (true) {
      int read = input.read(buffer, length, buffer.length - length);
      if (read < 0) {
        throw new IOException("connection ended");
      }
      length += read;
      String text = new String(buffer, 0, length, StandardCharsets.US_ASCII);
      int head = text.indexOf("\r\n\r\n");
      if (head >= 0 && !text.startsWith("HTTP/1.1 200")) {
        throw new IOException("unexpected response: " + text);
      }
      if (head >= 0 && length >= head + 4 + 64) {
        return;
      }
    }
  }

  private static void accept(ServerSocket server) {
    try {
      while (true) {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        daemon(() -> serve(socket));
      }
    } catch (IOException closed) {
      return;
    }
  }

  private static void serve(Socket socket) {
    byte[] buffer = new byte[4096];
    try (socket) {
      InputStream input = socket.getInputStream();
      OutputStream output = socket.getOutputStream();
      int length = 0;
      for (int read = input.read(buffer);
          read >= 0;
          read = input.read(buffer, length, 4096 - length)) {
        length += read;
        if (length >= 4 && buffer[length - 1] == '\n' && buffer[length - 3] == '\n') {
          output.write(RESPONSE);
          length = 0;
        }
      }
    } catch (IOException ended) {
      return;
    }
  }

  private static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void print(String name, Histogram histogram) {
    System.out.printf(
        "%s n %d p50 %.0f p90 %.0f p99 %.0f p99.9 %.0f max %.0f us%n",
        name,
        histogram.getTotalCount(),
        histogram.getValueAtPercentile(50) / 1e3,
        histogram.getValueAtPercentile(90) / 1e3,
        histogram.getValueAtPercentile(99) / 1e3,
        histogram.getValueAtPercentile(99.9) / 1e3,
        histogram.getMaxValue() / 1e3);
  }
}
