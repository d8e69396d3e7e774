package io.umberpath.node.proxy.inbound;

import static org.assertj.core.api.Assertions.assertThat;

import io.umberpath.traffic.quarantine.RequestFingerprint;
import java.util.Arrays;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;
import org.junit.jupiter.api.Test;

/**
 * The hash of a body does not depend on how it is split into parts or whether it is still buffered.
 */
final class RequestBodyTest {
  private static final int PREFIX = RequestFingerprint.BODY_PREFIX_BYTES;

  private final RequestBody body = new RequestBody();

  private static byte[] bytes(int count) {
    byte[] bytes = new byte[count];
    for (int index = 0; index < count; index++) {
      bytes[index] = (byte) (index * 31);
    }
    return bytes;
  }

  private static Buffer buffer(byte[] bytes) {
    return Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, bytes);
  }

  @Test
  void hashOfShortBodyIsKnownOnceComplete() {
    byte[] all = bytes(100);
    body.buffer(buffer(Arrays.copyOf(all, 40)));
    assertThat(body.hash()).isEmpty();

    body.noteForwarded(buffer(Arrays.copyOfRange(all, 40, 100)));
    assertThat(body.hash()).isEmpty();
    body.complete(null);

    assertThat(body.hash()).hasValue(RequestFingerprint.hashBody(all));
  }

  @Test
  void hashOfLongBodyIsKnownOnceItsPrefixArrived() {
    byte[] all = bytes(PREFIX + 1_000);
    body.buffer(buffer(Arrays.copyOf(all, PREFIX - 1)));
    assertThat(body.hash()).isEmpty();

    body.buffer(buffer(Arrays.copyOfRange(all, PREFIX - 1, all.length)));

    assertThat(body.hash()).hasValue(RequestFingerprint.hashBody(all));
  }

  @Test
  void hashIsKnownForBodyBeyondTheReplayLimit() {
    byte[] all = bytes(RequestBody.REPLAY_LIMIT_BYTES + 1_000);
    body.noteForwarded(buffer(Arrays.copyOf(all, 10)));
    body.noteForwarded(buffer(Arrays.copyOfRange(all, 10, all.length)));

    assertThat(body.isReplayable()).isFalse();
    assertThat(body.hash()).hasValue(RequestFingerprint.hashBody(all));
  }

  @Test
  void hashOfEmptyBodyIsKnownOnceComplete() {
    body.complete(null);

    assertThat(body.hash()).hasValue(RequestFingerprint.hashBody(new byte[0]));
  }
}
