package io.umberpath.node.proxy;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;

/** Blocks a listener's only selector thread, once. */
final class SelectorBlock implements AutoCloseable {
  /** Minimum time for which the thread is blocked by {@link #releaseLate}, milliseconds. */
  static final long LATE_MILLIS = 300;

  private static final String PATH = "/block";

  private final CountDownLatch blocked = new CountDownLatch(1);
  private final CountDownLatch released = new CountDownLatch(1);
  private RawConnection client;

  /** Sends the request that blocks; returns once the selector thread is blocked. */
  void block(RawConnection newClient) throws IOException, InterruptedException {
    blockBehind(newClient, "");
  }

  /** The same, in the iteration in which it has read another request. */
  void blockBehind(RawConnection newClient, String request)
      throws IOException, InterruptedException {
    client = newClient;
    client.send(request + "GET " + PATH + " HTTP/1.1\r\nHost: a\r\n\r\n");
    blocked.await();
  }

  /** Called by the listener's handler for each request; blocks on the blocking request. */
  void blockIfRequested(String path) {
    if (!path.equals(PATH)) {
      return;
    }
    blocked.countDown();
    try {
      released.await();
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  void release() {
    released.countDown();
  }

  /** Returns once the thread is late. */
  void awaitLateness() throws InterruptedException {
    Thread.sleep(LATE_MILLIS);
  }

  /** Releases the thread once it is late. */
  void releaseLate() throws InterruptedException {
    awaitLateness();
    release();
  }

  @Override
  public void close() throws IOException {
    release();
    if (client != null) {
      client.close();
    }
  }
}
