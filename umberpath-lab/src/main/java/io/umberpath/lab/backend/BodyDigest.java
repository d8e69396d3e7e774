package io.umberpath.lab.backend;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.io.IOException;
import java.util.function.Consumer;
import org.glassfish.grizzly.ReadHandler;
import org.glassfish.grizzly.http.io.NIOInputStream;

/** Reads a request body without blocking and keeps only its length and SHA-256. */
final class BodyDigest implements ReadHandler {
  private static final int BUFFER_BYTES = 16_384;

  private final NIOInputStream input;
  private final Consumer<RunLedger.StoredUpload> onWhole;
  private final Runnable onCut;
  private final Hasher hasher = Hashing.sha256().newHasher();
  private final byte[] buffer = new byte[BUFFER_BYTES];
  private long bytes;

  private BodyDigest(
      NIOInputStream input, Consumer<RunLedger.StoredUpload> onWhole, Runnable onCut) {
    this.input = input;
    this.onWhole = onWhole;
    this.onCut = onCut;
  }

  /** Starts reading; exactly one of the callbacks is called. */
  static void read(NIOInputStream input, Consumer<RunLedger.StoredUpload> onWhole, Runnable onCut) {
    input.notifyAvailable(new BodyDigest(input, onWhole, onCut));
  }

  @Override
  public void onDataAvailable() throws IOException {
    consume();
    input.notifyAvailable(this);
  }

  @Override
  public void onAllDataRead() throws IOException {
    consume();
    onWhole.accept(new RunLedger.StoredUpload(hasher.hash().toString(), bytes));
  }

  @Override
  public void onError(Throwable failure) {
    onCut.run();
  }

  private void consume() throws IOException {
    while (input.isReady()) {
      int length = input.read(buffer);
      if (length <= 0) {
        return;
      }
      hasher.putBytes(buffer, 0, length);
      bytes += length;
    }
  }
}
