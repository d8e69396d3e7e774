package io.umberpath.node.platform;

import io.umberpath.model.PlatformDocument;
import java.util.concurrent.CompletionStage;

/** Reads the platform's configuration service. */
public interface PlatformReader extends AutoCloseable {
  /** Reads the document once; completes exceptionally on any failure. Never blocks. */
  CompletionStage<PlatformDocument> read();

  @Override
  void close();
}
