package io.umberpath.transport;

import io.umberpath.model.PeerAddress;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** A transport under test on an ephemeral loopback port. */
final class TestNode implements AutoCloseable {
  static final TransportSettings.Limits LIMITS =
      new TransportSettings.Limits(64 << 10, 100, 1 << 20, 20);
  static final TransportSettings.Timeouts TIMEOUTS =
      new TransportSettings.Timeouts(2_000, 30_000, 30_000, 10, 100);

  private static final long AWAIT_TIMEOUT_SECONDS = 30;

  final RecordingListener recorder = new RecordingListener();
  final GrizzlyTransport transport;
  final PeerAddress address;

  private TestNode(TransportSettings settings) throws IOException {
    transport = new GrizzlyTransport(settings, TestMessages.codec());
    address = transport.bind();
    transport.start(recorder);
  }

  static TestNode open() throws IOException {
    return open(LIMITS, TIMEOUTS);
  }

  static TestNode open(TransportSettings.Limits limits, TransportSettings.Timeouts timeouts)
      throws IOException {
    return open(new PeerAddress("127.0.0.1", 0), 1, limits, timeouts);
  }

  static TestNode open(
      PeerAddress listen,
      long incarnation,
      TransportSettings.Limits limits,
      TransportSettings.Timeouts timeouts)
      throws IOException {
    return open(listen, incarnation, new TransportSecurity.PlainTextLoopback(), limits, timeouts);
  }

  static TestNode open(
      PeerAddress listen,
      long incarnation,
      TransportSecurity security,
      TransportSettings.Limits limits,
      TransportSettings.Timeouts timeouts)
      throws IOException {
    return new TestNode(new TransportSettings(listen, incarnation, security, limits, timeouts));
  }

  void send(TestNode to, int number) {
    transport.send(to.address, TestMessages.message(number));
  }

  long faults(TransportFault fault) {
    return transport.faultCounts().get(fault);
  }

  /** Waits for a condition; fails after a timeout far longer than any healthy run needs. */
  static void await(String what, BooleanSupplier condition) {
    long deadline = System.nanoTime() + Duration.ofSeconds(AWAIT_TIMEOUT_SECONDS).toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
        throw new AssertionError("timed out waiting for: " + what);
      }
      Thread.onSpinWait();
      LockSupport.parkNanos(1_000_000);
    }
  }

  @Override
  public void close() {
    transport.close();
  }
}
