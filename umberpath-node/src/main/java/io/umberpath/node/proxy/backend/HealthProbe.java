package io.umberpath.node.proxy.backend;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.ResponseHead;
import io.umberpath.node.proxy.origin.OriginConnection;
import io.umberpath.node.proxy.origin.ResponseListener;
import io.umberpath.node.proxy.origin.ResponsePart;
import io.umberpath.node.proxy.pool.ConnectionPool;
import io.umberpath.node.proxy.pool.ConnectionWaiter;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.Header;

/** One {@code GET} request for a backend's health path. Thread-safe. */
public final class HealthProbe implements ConnectionWaiter, ResponseListener {
  private static final int MAX_BODY_CHARACTERS = 4_096;

  private final ConnectionPool pool;
  private final String path;
  private final BiConsumer<ResponseHead, String> onResponse;
  private final Runnable onFailure;
  private final StringBuilder body = new StringBuilder();
  private OriginConnection connection;
  private boolean finished;

  /**
   * Creates a probe that has not been sent.
   *
   * @param path path of the request
   * @param onResponse receives the head and the body text of the response; the text may be
   *     truncated
   * @param onFailure called if there is no complete response
   */
  public HealthProbe(
      ConnectionPool pool,
      String path,
      BiConsumer<ResponseHead, String> onResponse,
      Runnable onFailure) {
    this.pool = pool;
    this.path = path;
    this.onResponse = onResponse;
    this.onFailure = onFailure;
  }

  /**
   * Sends the probe. Exactly one of the callbacks is called, unless the probe is cancelled first.
   */
  public void start() {
    pool.acquire(this);
  }

  /** Whether the probe has neither finished nor been cancelled. */
  public synchronized boolean isInProgress() {
    return !finished;
  }

  /** Cancels the probe; returns whether it was still in progress. */
  public boolean cancel() {
    OriginConnection currentConnection;
    synchronized (this) {
      if (finished) {
        return false;
      }
      finished = true;
      currentConnection = connection;
    }
    if (currentConnection != null) {
      currentConnection.abandon();
    }
    return true;
  }

  @Override
  public void onConnected(OriginConnection opened) {
    synchronized (this) {
      if (!finished) {
        connection = opened;
        opened.beginAttempt(this);
        opened.write(request(), true);
        return;
      }
    }
    pool.release(opened);
  }

  private HttpRequestPacket request() {
    return HttpRequestPacket.builder()
        .method(Method.GET)
        .uri(path)
        .protocol(Protocol.HTTP_1_1)
        .header(Header.Host, pool.address().toString())
        .build();
  }

  @Override
  public void onUnavailable(Verdict.Reason reason) {
    fail();
  }

  @Override
  public void onFailure(Verdict.Reason reason) {
    fail();
  }

  private void fail() {
    synchronized (this) {
      if (finished) {
        return;
      }
      finished = true;
    }
    onFailure.run();
  }

  @Override
  public void onInterimResponse(byte[] head) {
    // Only the final response matters.
  }

  @Override
  public boolean onResponsePart(ResponsePart part) {
    synchronized (this) {
      append(part.content());
      if (finished || !part.last()) {
        return true;
      }
      finished = true;
    }
    onResponse.accept(part.head(), body.toString());
    return true;
  }

  private void append(Buffer content) {
    if (content != null && body.length() < MAX_BODY_CHARACTERS) {
      byte[] bytes = new byte[Math.min(content.remaining(), MAX_BODY_CHARACTERS)];
      content.get(bytes);
      body.append(new String(bytes, StandardCharsets.ISO_8859_1));
    }
  }

  @Override
  public void whenReadyForMore(Runnable resume) {
    resume.run();
  }
}
