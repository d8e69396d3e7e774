package io.umberpath.node.logs;

import com.google.common.flogger.backend.LogData;
import com.google.common.flogger.backend.Metadata;
import com.google.common.flogger.backend.system.AbstractLogRecord;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log records to standard output, one JSON object per line, from a dedicated thread. Logging
 * never blocks: when the bounded buffer is full, the line is dropped and counted, and the count of
 * dropped lines is written as a line of its own.
 */
public final class JsonLogHandler extends Handler {
  private static final int MAX_BUFFERED_LINES = 2_048;
  private static final long FLUSH_MILLIS = 200;
  private static final String CONTEXT = " [CONTEXT ";

  private static volatile JsonLogHandler installed;

  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_BUFFERED_LINES);
  private final AtomicLong droppedLines = new AtomicLong();
  private final AtomicInteger writesInProgress = new AtomicInteger();
  private final OutputStream out;

  JsonLogHandler(OutputStream out) {
    this.out = out;
  }

  /** Replaces the handlers of the root logger; must be called before anything is logged. */
  public static void install() {
    System.setProperty(NonResettingLogManager.PROPERTY, NonResettingLogManager.class.getName());
    JsonLogHandler handler = new JsonLogHandler(new FileOutputStream(FileDescriptor.out));
    Logger root = Logger.getLogger("");
    for (Handler existing : root.getHandlers()) {
      root.removeHandler(existing);
    }
    root.setLevel(Level.INFO);
    root.addHandler(handler);
    handler.start();
    installed = handler;
  }

  /** Starts the thread that writes; called once. */
  void start() {
    Thread thread = new Thread(this::writeLoop, "umberpath-log");
    thread.setDaemon(true);
    thread.start();
  }

  /** Waits up to {@link #FLUSH_MILLIS} for buffered lines to be written. */
  public static void awaitFlush() {
    JsonLogHandler handler = installed;
    if (handler != null) {
      handler.flush();
    }
  }

  @Override
  public void publish(LogRecord record) {
    if (isLoggable(record) && !lines.offer(format(record))) {
      droppedLines.incrementAndGet();
    }
  }

  private static String format(LogRecord record) {
    StringBuilder line = new StringBuilder(256);
    line.append("{\"time\":\"").append(Instant.ofEpochMilli(record.getMillis())).append('"');
    line.append(",\"level\":\"").append(record.getLevel().getName()).append('"');
    if (record instanceof AbstractLogRecord structured) {
      appendFields(line, structured.getLogData());
    }
    JsonText.appendField(line, "message", withoutContext(String.valueOf(record.getMessage())));
    if (record.getThrown() != null) {
      JsonText.appendField(line, "thrown", ThrowableFormatter.format(record.getThrown()));
    }
    return line.append("}\n").toString();
  }

  /** Strips the context that Flogger appends to the message, since it repeats the fields. */
  private static String withoutContext(String message) {
    int context = message.indexOf(CONTEXT);
    return context < 0 ? message : message.substring(0, context);
  }

  private static void appendFields(StringBuilder line, LogData data) {
    Metadata metadata = data.getMetadata();
    for (int index = 0; index < metadata.size(); index++) {
      Object value = metadata.getValue(index);
      if (value instanceof String || value instanceof Number) {
        JsonText.appendField(line, metadata.getKey(index).getLabel(), value);
      }
    }
  }

  private void writeLoop() {
    while (true) {
      try {
        writeNext();
      } catch (IOException closed) {
        // The output is closed for good; further lines are dropped.
        return;
      } catch (InterruptedException | RuntimeException | Error fault) {
        // Counted only, since a line about it could fail in the same way.
        droppedLines.incrementAndGet();
      }
    }
  }

  private void writeNext() throws IOException, InterruptedException {
    String line = lines.poll(1, TimeUnit.HOURS);
    if (line == null) {
      return;
    }
    writesInProgress.incrementAndGet();
    try {
      long droppedCount = droppedLines.get();
      if (droppedCount > 0) {
        line = "{\"event\":\"lines-dropped\",\"count\":" + droppedCount + "}\n" + line;
      }
      out.write(line.getBytes(StandardCharsets.UTF_8));
      droppedLines.addAndGet(-droppedCount);
    } finally {
      writesInProgress.decrementAndGet();
    }
  }

  @Override
  public void flush() {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLUSH_MILLIS);
    while ((!lines.isEmpty() || writesInProgress.get() > 0) && System.nanoTime() < deadlineNanos) {
      Thread.yield();
    }
  }

  @Override
  public void close() {
    flush();
  }
}
