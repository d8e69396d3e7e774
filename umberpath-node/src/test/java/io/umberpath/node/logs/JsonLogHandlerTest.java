package io.umberpath.node.logs;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class JsonLogHandlerTest {
  private static final long TIMEOUT_SECONDS = 20;

  private final BlockingQueue<String> written = new LinkedBlockingQueue<>();

  /** Fails the first write and collects the others. */
  private final class FailingOnce extends OutputStream {
    private RuntimeException exception;
    private Error error;

    FailingOnce(boolean isError) {
      error = isError ? new OutOfMemoryError("on purpose") : null;
      exception = isError ? null : new IllegalStateException("on purpose");
    }

    @Override
    public void write(int single) {
      throw new UnsupportedOperationException("lines are written whole");
    }

    @Override
    public void write(byte[] bytes) {
      if (error != null) {
        Error first = error;
        error = null;
        throw first;
      }
      if (exception != null) {
        RuntimeException first = exception;
        exception = null;
        throw first;
      }
      written.add(new String(bytes, StandardCharsets.UTF_8));
    }
  }

  private static LogRecord line(String message) {
    return new LogRecord(Level.INFO, message);
  }

  /** The thread that writes ended, and the node logged nothing any more. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void linesAreWrittenAfterAFaultOfTheWriter(boolean isError) throws Exception {
    JsonLogHandler handler = new JsonLogHandler(new FailingOnce(isError));
    handler.start();

    handler.publish(line("lost"));
    handler.flush();
    handler.publish(line("next"));

    assertThat(written.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS))
        .contains("\"event\":\"lines-dropped\",\"count\":1", "\"message\":\"next\"");
  }
}
