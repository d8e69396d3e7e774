package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

final class SupervisedThreadTest {
  private static final long TIMEOUT_SECONDS = 20;
  private static final Path SOURCES = Path.of("src/main/java/io/umberpath/node/mesh");

  private final MeshEvents events = new MeshEvents(() -> 0);

  private static List<Throwable> faults() {
    return List.of(
        new IllegalStateException("on purpose"),
        new IOException("on purpose"),
        new InterruptedException("on purpose"),
        new StackOverflowError("on purpose"),
        new OutOfMemoryError("on purpose"));
  }

  @ParameterizedTest
  @MethodSource("faults")
  void stepsContinueAfterAFault(Throwable fault) throws Exception {
    AtomicInteger steps = new AtomicInteger();
    CountDownLatch continued = new CountDownLatch(1);
    SupervisedThread.Step step =
        () -> {
          if (steps.incrementAndGet() == 1) {
            throwAny(fault);
          }
          continued.countDown();
          new CountDownLatch(1).await();
        };
    try (SupervisedThread thread = new SupervisedThread(MeshTask.STORE, step, events)) {
      thread.start();

      assertThat(continued.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
      assertThat(events.faultCount(MeshTask.STORE)).isEqualTo(1);
      assertThat(events.faultCount(MeshTask.PULLER)).isZero();
    }
  }

  private static void throwAny(Throwable fault) throws Exception {
    if (fault instanceof Error error) {
      throw error;
    }
    throw (Exception) fault;
  }

  @ParameterizedTest
  @MethodSource("faults")
  void faultInAGuardedActionIsCounted(Throwable fault) {
    events.runGuarded(MeshTask.SHUTDOWN, () -> throwUnchecked(fault));

    assertThat(events.faultCount(MeshTask.SHUTDOWN)).isEqualTo(1);
  }

  private static void throwUnchecked(Throwable fault) {
    if (fault instanceof Error error) {
      throw error;
    }
    throw new IllegalStateException(fault);
  }

  @Test
  void closingEndsTheThreadWithoutAFault() throws Exception {
    CountDownLatch started = new CountDownLatch(1);
    CountDownLatch interrupted = new CountDownLatch(1);
    SupervisedThread.Step step =
        () -> {
          started.countDown();
          try {
            new CountDownLatch(1).await();
          } finally {
            interrupted.countDown();
          }
        };
    SupervisedThread thread = new SupervisedThread(MeshTask.STORE, step, events);
    thread.start();
    assertThat(started.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();

    thread.close();

    assertThat(interrupted.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    assertThat(events.faultCount(MeshTask.STORE)).isZero();
  }

  @Test
  void noOtherCodeOfANodeCreatesThreads() throws IOException {
    try (Stream<Path> files = Files.list(SOURCES)) {
      List<String> creators =
          files
              .filter(file -> contains(file, "new Thread("))
              .map(file -> file.getFileName().toString())
              .toList();
      assertThat(creators).containsExactly("MeshTask.java");
    }
  }

  private static boolean contains(Path file, String text) {
    try {
      return Files.readString(file).contains(text);
    } catch (IOException unreadable) {
      throw new IllegalStateException(unreadable);
    }
  }
}
