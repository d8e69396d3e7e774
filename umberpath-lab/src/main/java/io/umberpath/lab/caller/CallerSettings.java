package io.umberpath.lab.caller;

import java.net.URI;
import java.time.Duration;
import java.util.List;

/**
 * What an {@link OpenLoopCaller} does.
 *
 * @param name prefix of its request ids
 * @param targets where it sends its calls, in turn
 * @param mix what it asks
 * @param ratePerSecond mean arrivals per second, exponentially spaced
 * @param seed seed of arrivals and contents
 * @param patience longest wait for an answer
 * @param attempts how often one call is sent until it completes; more than one is the baseline that
 *     retries whatever happened
 */
public record CallerSettings(
    String name,
    List<URI> targets,
    CallMix mix,
    double ratePerSecond,
    long seed,
    Duration patience,
    int attempts) {
  /** Copies the targets. */
  public CallerSettings {
    targets = List.copyOf(targets);
  }
}
