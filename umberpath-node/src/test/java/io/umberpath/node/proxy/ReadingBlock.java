package io.umberpath.node.proxy;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;

/** Keeps a listener's only selector thread from reading, once. */
final class ReadingBlock implements AutoCloseable {
  /** How late the thread reads at least, after {@link #readOnLate}. */
  static final long LATE_MILLIS = 300;

  private static final String PATH = "/block";

  private final CountDownLatch blocked = new CountDownLatch(1);
  private final CountDownLatch readsOn = new CountDownLatch(1);
  private RawConnection caller;

  /** Sends the request that blocks; returns once the thread that reads stands still. */
  void begin(RawConnection newCaller) throws IOException, InterruptedException {
    beginBehind(newCaller, "");
  }

  /** The same, in the turn in which it has read another request. */
  void beginBehind(RawConnection newCaller, String request)
      throws IOException, InterruptedException {
    caller = newCaller;
    caller.send(request + "GET " + PATH + " HTTP/1.1\r\nHost: a\r\n\r\n");
    blocked.await();
  }

  /** Called by the listener's handler for each request. */
  void pass(String path) {
    if (!path.equals(PATH)) {
      return;
    }
    blocked.countDown();
    try {
      readsOn.await();
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  void readOn() {
    readsOn.countDown();
  }

  /** Returns once the thread is late. */
  void standLate() throws InterruptedException {
    Thread.sleep(LATE_MILLIS);
  }

  /** Lets it read on once it is late. */
  void readOnLate() throws InterruptedException {
    standLate();
    readOn();
  }

  @Override
  public void close() throws IOException {
    readOn();
    if (caller != null) {
      caller.close();
    }
  }
}
