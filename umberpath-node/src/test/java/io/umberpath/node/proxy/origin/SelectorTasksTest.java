package io.umberpath.node.proxy.origin;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.nio.NIOConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class SelectorTasksTest {
  private static final int WAIT_SECONDS = 5;

  private final TCPNIOTransport transport =
      TCPNIOTransportBuilder.newInstance().setSelectorRunnersCount(1).build();
  private final Queue<String> seen = new ConcurrentLinkedQueue<>();
  private final CountDownLatch done = new CountDownLatch(1);
  private Connection<?> connection;

  @BeforeEach
  void open() throws Exception {
    transport.start();
    TCPNIOServerConnection listener = transport.bind(new InetSocketAddress("127.0.0.1", 0));
    connection = transport.connect(listener.getLocalAddress()).get(WAIT_SECONDS, TimeUnit.SECONDS);
  }

  @AfterEach
  void close() throws Exception {
    transport.shutdownNow();
  }

  private void recordLast(String name) {
    seen.add(name);
    done.countDown();
  }

  private void awaitDone() throws InterruptedException {
    assertThat(done.await(WAIT_SECONDS, TimeUnit.SECONDS)).isTrue();
  }

  @Test
  void runsOnSelectorThreadAfterCurrentTask() throws Exception {
    Thread selector = ((NIOConnection) connection).getSelectorRunner().getRunnerThread();

    SelectorTasks.runDeferred(
        connection,
        () -> {
          SelectorTasks.runDeferred(
              connection, () -> recordLast("inner on " + Thread.currentThread().getName()));
          seen.add("outer");
        });

    awaitDone();
    assertThat(seen).containsExactly("outer", "inner on " + selector.getName());
  }

  @Test
  void runsTasksOfClosedConnectionInOrder() throws Exception {
    connection.terminateSilently();

    for (String name : List.of("first", "second")) {
      SelectorTasks.runDeferred(connection, () -> seen.add(name));
    }
    SelectorTasks.runDeferred(connection, () -> recordLast("third"));

    awaitDone();
    assertThat(seen).containsExactly("first", "second", "third");
  }

  @Test
  void continuesAfterTaskThrows() throws Exception {
    SelectorTasks.runDeferred(
        connection,
        () -> {
          throw new IllegalStateException("meant to be thrown");
        });
    SelectorTasks.runDeferred(connection, () -> recordLast("next"));

    awaitDone();
    assertThat(seen).containsExactly("next");
  }
}
