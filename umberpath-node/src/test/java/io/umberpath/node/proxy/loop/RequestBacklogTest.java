package io.umberpath.node.proxy.loop;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class RequestBacklogTest {
  private static final long STANDING_NANOS = RequestBacklog.STANDING_NANOS;
  private static final int CONNECTIONS = 10;
  private static final int ITERATIONS = 200;

  private final RequestBacklog backlog = new RequestBacklog(new Random(1));
  private final List<Integer> begun = new ArrayList<>();
  private final List<Long> refusedAfterMillis = new ArrayList<>();

  private record Request(int connection, RequestBacklogTest test) implements NewRequest {
    @Override
    public void begin() {
      test.begun.add(connection);
    }

    @Override
    public void refuse(long waitedMillis) {
      test.refusedAfterMillis.add(waitedMillis);
    }
  }

  private void add(int connection, long nowNanos) {
    backlog.add(new Request(connection, this), nowNanos);
  }

  private void read(long nowNanos) {
    backlog.onIterationStart(nowNanos);
  }

  private void beginNext(long nowNanos) {
    backlog.takeNext(nowNanos).begin();
  }

  @Test
  void aBacklogThatIsWorkedOffIsServedInTheOrderOfArrival() {
    for (int connection = 0; connection < 4; connection++) {
      add(connection, 0);
    }
    read(1);
    beginNext(1);
    backlog.onSliceEnd(1);
    beginNext(STANDING_NANOS);
    beginNext(STANDING_NANOS);
    beginNext(STANDING_NANOS);
    backlog.onSliceEnd(STANDING_NANOS);
    add(4, STANDING_NANOS);
    add(5, STANDING_NANOS);
    read(2 * STANDING_NANOS);
    beginNext(2 * STANDING_NANOS);
    beginNext(2 * STANDING_NANOS);

    assertThat(begun).containsExactly(0, 1, 2, 3, 4, 5);
    assertThat(backlog.hasOvertaken(2 * STANDING_NANOS)).isFalse();
  }

  @Test
  void theNewestRequestIsFirstAndTheOldestRefusedOnceTheBacklogStands() {
    add(0, 0);
    read(1);
    backlog.onSliceEnd(1);
    add(1, STANDING_NANOS);
    read(STANDING_NANOS + 1);
    beginNext(STANDING_NANOS + 1);

    assertThat(begun).containsExactly(1);
    assertThat(backlog.hasOvertaken(STANDING_NANOS + 1)).isTrue();
    backlog.refuseOldest(STANDING_NANOS + 1);
    assertThat(refusedAfterMillis).containsExactly(TimeUnit.NANOSECONDS.toMillis(STANDING_NANOS));
  }

  /** A selector reports sockets in the same order each time. */
  @Test
  void noConnectionIsPreferredForBeingReadLast() {
    add(0, 0);
    read(1);
    backlog.onSliceEnd(1);
    for (int iteration = 1; iteration <= ITERATIONS; iteration++) {
      long nowNanos = (1 + iteration) * STANDING_NANOS;
      for (int connection = 0; connection < CONNECTIONS; connection++) {
        add(connection, nowNanos);
      }
      read(nowNanos);
      beginNext(nowNanos);
      backlog.onSliceEnd(nowNanos);
    }

    for (int connection = 0; connection < CONNECTIONS; connection++) {
      assertThat(begun.stream().filter(List.of(connection)::contains).count())
          .isGreaterThan(ITERATIONS / CONNECTIONS / 2);
    }
  }
}
