package io.umberpath.lab.backend;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.umberpath.lab.workload.RequestKind;
import io.umberpath.lab.workload.WholeAnswer;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.http.HttpRequestPacket;

/**
 * One request's life: it runs once it has a slot and its whole body, and ends exactly once. Called
 * from the selector thread and from the back end's timer; its lock guards it.
 */
final class BackendExchange {
  private final BackendStandIn backend;
  private final Connection<?> connection;
  private final HttpRequestPacket request;
  private final int fillerBytes;
  private final Hasher hasher = Hashing.sha256().newHasher();
  private final Runnable takeSlot = this::takeSlot;
  private RequestKind kind;
  private String requestId;
  private long bodyBytes;
  private boolean bodyWhole;
  private boolean hasSlot;
  private boolean started;
  private boolean ended;

  BackendExchange(
      BackendStandIn backend, Connection<?> connection, HttpRequestPacket request, int filler) {
    this.backend = backend;
    this.connection = connection;
    this.request = request;
    this.fillerBytes = filler;
  }

  boolean isOf(HttpRequestPacket other) {
    return request == other;
  }

  /** Asks for a slot; sheds the request if there is none. */
  void begin(RequestKind newKind, String newRequestId) {
    synchronized (this) {
      kind = newKind;
      requestId = newRequestId;
    }
    if (!backend.slots().offer(takeSlot)) {
      answer(BackendAnswer.shed());
    }
  }

  /** Takes in a part of the body, also of a request that is already answered. */
  synchronized void bodyPart(Buffer content, boolean last) {
    if (content != null && content.hasRemaining()) {
      byte[] bytes = new byte[content.remaining()];
      content.get(bytes);
      hasher.putBytes(bytes);
      bodyBytes += bytes.length;
    }
    bodyWhole |= last;
    runIfReady();
  }

  /** Answers unless the request has ended. */
  void answer(BackendAnswer answer) {
    boolean release;
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      release = hasSlot;
    }
    if (release) {
      backend.slots().release();
    }
    answer.write(connection, request);
  }

  /** The connection went away: a waiting request leaves the queue, a running one is abandoned. */
  void cancel() {
    boolean release;
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      release = hasSlot;
      if (kind == RequestKind.UPLOADS && !bodyWhole) {
        backend.ledger().cutUpload();
      }
    }
    if (release) {
      backend.slots().release();
    } else {
      backend.slots().withdraw(takeSlot);
    }
  }

  private void takeSlot() {
    boolean tooLate;
    synchronized (this) {
      tooLate = ended;
      hasSlot = !tooLate;
      runIfReady();
    }
    if (tooLate) {
      backend.slots().release();
    }
  }

  private void runIfReady() {
    if (hasSlot && bodyWhole && !started && !ended) {
      started = true;
      backend.begin(kind, requestId);
      backend.later(backend.nextServiceMicros(kind, connection), this::finish);
    }
  }

  private void finish() {
    RunLedger.StoredUpload body;
    synchronized (this) {
      if (ended) {
        return;
      }
      body = new RunLedger.StoredUpload(hasher.hash().toString(), bodyBytes);
      if (kind == RequestKind.UPLOADS) {
        backend.ledger().store(requestId, body);
      }
    }
    byte[] whole = WholeAnswer.of(requestId, kind, body.sha256(), body.bytes(), fillerBytes);
    answer(BackendAnswer.whole(requestId, whole));
  }
}
