package io.umberpath.control;

import io.umberpath.control.ControlMessage.DocumentDelta;
import io.umberpath.control.ControlMessage.DocumentRequest;
import io.umberpath.control.ControlMessage.DocumentUpdate;
import io.umberpath.control.store.StorePosition;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.Violation;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Optional;

/**
 * Holds the newest platform document and distributes it along the relay tree in both directions, as
 * deltas if the neighbour holds a recent revision. Revisions are packed positions (see {@link
 * StorePosition}), so revisions of a newer era of the platform sort after all others. A revision
 * that is not newer than the held one is ignored.
 */
final class DocumentDistributor {
  private static final int RECENT_DOCUMENTS = 8;

  private final NodeContext context;
  private final Deque<PlatformDocument> recentDocuments = new ArrayDeque<>();
  private PlatformDocument current = PlatformDocument.NONE;
  private long lastOlderRevision = Long.MAX_VALUE;
  private long knownRevision;
  private long nextRequestAt;
  private long nextPushAt;
  private PeerAddress source;
  private boolean isDistributionDue;

  DocumentDistributor(NodeContext context) {
    this.context = context;
  }

  PlatformDocument current() {
    return current;
  }

  long revision() {
    return current.revision();
  }

  /** Records that a process holds, or held, this revision. */
  void recordKnownRevision(long revision) {
    knownRevision = Math.max(knownRevision, revision);
  }

  /** Whether no revision newer than the held one is known to exist. */
  boolean isNewestKnown() {
    return current.revision() >= knownRevision;
  }

  /** The held revision as stated to children: the bitwise complement while a newer one is known. */
  long statedRevision() {
    return isNewestKnown() ? current.revision() : ~current.revision();
  }

  /** Whether a stated revision was the newest that its sender knew. */
  static boolean isNewest(long stated) {
    return stated >= 0;
  }

  /** Handles a document read from the platform. */
  void onRead(PlatformDocument document) {
    if (document.revision() < current.revision()) {
      if (document.revision() != lastOlderRevision) {
        lastOlderRevision = document.revision();
        context.notice(
            "platform-revision-went-back",
            "platform answered "
                + StorePosition.describePacked(document.revision())
                + ", held "
                + StorePosition.describePacked(current.revision()));
      }
      return;
    }
    lastOlderRevision = Long.MAX_VALUE;
    hold(document, null);
  }

  private void hold(PlatformDocument document, PeerAddress from) {
    if (document.revision() <= current.revision()) {
      return;
    }
    current = document;
    recentDocuments.addLast(document);
    if (recentDocuments.size() > RECENT_DOCUMENTS) {
      recentDocuments.removeFirst();
    }
    source = from;
    isDistributionDue = true;
  }

  /** Handles a newer document or delta from a neighbour. */
  void onUpdate(PeerAddress from, DocumentDelta delta) {
    if (delta.revision() <= current.revision()) {
      return;
    }
    if (delta.base() != 0 && delta.base() != current.revision()) {
      context.send(from, new DocumentRequest(current.revision()));
      return;
    }
    Either<Violation, PlatformDocument> result = context.shared().patch(delta, current);
    if (result.isRight()) {
      hold(result.get(), from);
    } else {
      context.notice("document-refused", "revision " + delta.revision() + ": " + result.getLeft());
      request(from, 0);
    }
  }

  private void request(PeerAddress from, long revision) {
    if (context.now() >= nextRequestAt) {
      nextRequestAt = context.now() + context.settings().heartbeatMillis();
      context.send(from, new DocumentRequest(revision));
    }
  }

  /** Handles a neighbour's request for a newer document. */
  void onRequest(PeerAddress from, DocumentRequest request) {
    if (request.revision() < current.revision()) {
      sendTo(from, request.revision());
    }
  }

  private void sendTo(PeerAddress peer, long revision) {
    PlatformDocument base = PlatformDocument.NONE;
    for (PlatformDocument document : recentDocuments) {
      if (document.revision() == revision) {
        base = document;
      }
    }
    context.send(peer, new DocumentUpdate(context.shared().difference(base, current)));
  }

  /** Handles the revision stated by the parent, see {@link #statedRevision()}. */
  void onParentRevision(PeerAddress parent, long stated) {
    long revision = isNewest(stated) ? stated : ~stated;
    recordKnownRevision(revision);
    if (revision > current.revision()) {
      request(parent, current.revision());
    } else if (revision < current.revision() && context.now() >= nextPushAt) {
      nextPushAt = context.now() + context.settings().heartbeatMillis();
      sendTo(parent, revision);
    }
  }

  /** Handles the highest revision held in a voter's subtree. */
  void onVoterRevision(PeerAddress voter, long revision) {
    if (revision > current.revision()) {
      request(voter, current.revision());
    }
  }

  /** Handles the revision held by a new child. */
  void onChildRevision(PeerAddress child, long revision) {
    if (revision < current.revision()) {
      sendTo(child, revision);
    }
  }

  /**
   * Sends a newly held document to every neighbour except the one it came from; returns whether
   * there was one.
   */
  boolean flush(Optional<PeerAddress> parent, Collection<PeerAddress> children) {
    if (!isDistributionDue) {
      return false;
    }
    isDistributionDue = false;
    long previousRevision = previousRevision();
    parent.filter(peer -> !peer.equals(source)).ifPresent(peer -> sendTo(peer, previousRevision));
    for (PeerAddress child : children) {
      if (!child.equals(source)) {
        sendTo(child, previousRevision);
      }
    }
    return true;
  }

  private long previousRevision() {
    long previous = 0;
    for (PlatformDocument document : recentDocuments) {
      if (document.revision() < current.revision()) {
        previous = document.revision();
      }
    }
    return previous;
  }
}
