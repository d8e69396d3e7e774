package io.umberpath.node.cli;

import io.grpc.ConnectivityState;
import io.grpc.InsecureChannelCredentials;
import io.grpc.ManagedChannel;
import io.grpc.okhttp.OkHttpChannelBuilder;
import io.umberpath.api.v1.ConfigurationGrpc;
import io.umberpath.model.PeerAddress;
import io.umberpath.node.operator.BearerToken;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A connection to the operator API of one node. */
final class ServerConnection implements AutoCloseable {
  private final ManagedChannel channel;
  private final String token;

  ServerConnection(PeerAddress server, String token) {
    this.token = token;
    this.channel =
        OkHttpChannelBuilder.forAddress(
                server.host(), server.port(), InsecureChannelCredentials.create())
            .build();
  }

  /**
   * Connects before the first call, so that an unreachable server has certainly received nothing.
   */
  boolean connect(Duration timeout) {
    long deadlineNanos = System.nanoTime() + timeout.toNanos();
    ConnectivityState state = channel.getState(true);
    while (state != ConnectivityState.READY && System.nanoTime() < deadlineNanos) {
      if (state == ConnectivityState.TRANSIENT_FAILURE) {
        return false;
      }
      CountDownLatch changed = new CountDownLatch(1);
      channel.notifyWhenStateChanged(state, changed::countDown);
      try {
        changed.await(Math.max(0, deadlineNanos - System.nanoTime()), TimeUnit.NANOSECONDS);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return false;
      }
      state = channel.getState(true);
    }
    return state == ConnectivityState.READY;
  }

  ConfigurationGrpc.ConfigurationBlockingStub stub(Duration timeout) {
    return ConfigurationGrpc.newBlockingStub(channel)
        .withInterceptors(BearerToken.attach(token))
        .withDeadlineAfter(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    channel.shutdownNow();
  }
}
