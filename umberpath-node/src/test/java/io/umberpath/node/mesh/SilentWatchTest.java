package io.umberpath.node.mesh;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.control.store.StorePosition;
import io.umberpath.control.store.StoreRequest;
import io.umberpath.control.store.StoreResponse;
import io.umberpath.control.store.StoreWatcher;
import io.umberpath.control.store.StoreWatcher.Step;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A store that discards its history leaves pending watches without events until they time out. */
final class SilentWatchTest {
  /** Time within which an accepted configuration is in force, milliseconds. */
  private static final long BOUND_MILLIS = 2_000;

  /** Reserved for two calls after the watch: one reports that history is gone, one reads. */
  private static final long TWO_CALLS_MILLIS = 500;

  @ParameterizedTest
  @ValueSource(doubles = {0, 0.5, 1})
  void watchThatHearsNothingEndsWellWithinTheBound(double drawn) {
    StoreWatcher watcher = new StoreWatcher("", StoreWatchTimings.PROMPT, () -> drawn);
    watcher.nextStep(0);
    watcher.onResponse(
        0, new StoreResponse.Page(List.of(), false, new StorePosition(StorePosition.NO_ERA, 1)));

    Step.Call step = (Step.Call) watcher.nextStep(1);

    StoreRequest.Watch watch = (StoreRequest.Watch) step.call();
    assertThat(watch.waitMillis()).isLessThanOrEqualTo(BOUND_MILLIS - TWO_CALLS_MILLIS);
  }
}
