package io.umberpath.node.proxy.backend;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.ProxyHeaders;
import io.umberpath.node.proxy.inbound.Headers;
import io.umberpath.node.proxy.origin.AnswerListener;
import io.umberpath.node.proxy.origin.AnswerPart;
import io.umberpath.node.proxy.origin.OriginConnection;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.node.proxy.pool.ConnectionWaiter;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.Header;

/** One {@code GET /health} of a back end. Thread-safe. */
final class HealthProbe implements ConnectionWaiter, AnswerListener {
  private static final String PATH = "/health";
  private static final int MAX_BODY_CHARACTERS = 4_096;
  private static final long MILLIS_PER_SECOND = 1_000;

  private final ConnectionPool pool;
  private final Consumer<HealthReport> onReport;
  private final Runnable onFailure;
  private final StringBuilder body = new StringBuilder();
  private OriginConnection connection;
  private boolean over;

  HealthProbe(ConnectionPool pool, Consumer<HealthReport> onReport, Runnable onFailure) {
    this.pool = pool;
    this.onReport = onReport;
    this.onFailure = onFailure;
  }

  /** Sends the probe; exactly one of the callbacks follows, unless it is given up. */
  void start() {
    pool.acquire(this);
  }

  /** Whether neither callback has been called. */
  synchronized boolean isUnderWay() {
    return !over;
  }

  /** Gives up; returns whether it was still under way. */
  boolean giveUp() {
    OriginConnection used;
    synchronized (this) {
      if (over) {
        return false;
      }
      over = true;
      used = connection;
    }
    if (used != null) {
      used.abandon();
    }
    return true;
  }

  @Override
  public void connected(OriginConnection opened) {
    synchronized (this) {
      if (!over) {
        connection = opened;
        opened.begin(this);
        opened.write(request(), true);
        return;
      }
    }
    pool.release(opened);
  }

  private HttpRequestPacket request() {
    return HttpRequestPacket.builder()
        .method(Method.GET)
        .uri(PATH)
        .protocol(Protocol.HTTP_1_1)
        .header(Header.Host, pool.address().toString())
        .build();
  }

  @Override
  public void notConnected(Verdict.Reason reason) {
    fail();
  }

  @Override
  public void onBroken(Verdict.Reason reason) {
    fail();
  }

  private void fail() {
    synchronized (this) {
      if (over) {
        return;
      }
      over = true;
    }
    onFailure.run();
  }

  @Override
  public void onInterim(byte[] head) {
    // Only the final answer counts.
  }

  @Override
  public boolean onAnswerPart(AnswerPart part) {
    synchronized (this) {
      append(part.content());
      if (over || !part.last()) {
        return true;
      }
      over = true;
    }
    onReport.accept(report(part.head()));
    return true;
  }

  private void append(Buffer content) {
    if (content != null && body.length() < MAX_BODY_CHARACTERS) {
      byte[] bytes = new byte[Math.min(content.remaining(), MAX_BODY_CHARACTERS)];
      content.get(bytes);
      body.append(new String(bytes, StandardCharsets.ISO_8859_1));
    }
  }

  private HealthReport report(HttpResponsePacket head) {
    return new HealthReport(
        head.getStatus(),
        "true".equalsIgnoreCase(head.getHeader(ProxyHeaders.DRAINING)),
        Headers.text(head, Header.RetryAfter.toString())
            .flatMap(Headers::number)
            .map(seconds -> seconds * MILLIS_PER_SECOND),
        body.toString());
  }

  @Override
  public void whenReadyForMore(Runnable resume) {
    resume.run();
  }
}
