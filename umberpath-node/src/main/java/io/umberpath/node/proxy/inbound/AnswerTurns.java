package io.umberpath.node.proxy.inbound;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.glassfish.grizzly.http.HttpContent;

/** The answers that a connection owes, in the order of their requests. Its lock guards them. */
final class AnswerTurns {
  /** Requests read before the first of them is answered. */
  private static final int MAX_PIPELINED = 16;

  /** Bytes of answers held for their turn, beyond which nothing more is read. */
  private static final long MAX_HELD_BYTES = 128 * 1024;

  private final Deque<AnswerTurn> turns = new ArrayDeque<>();
  private long heldBytes;

  /** Adds the turn of a request that has just been read. */
  void add(AnswerTurn turn) {
    if (turns.isEmpty()) {
      turn.makeCurrent();
    }
    turns.add(turn);
  }

  AnswerTurn first() {
    return turns.peekFirst();
  }

  AnswerTurn removeFirst() {
    return turns.removeFirst();
  }

  boolean isEmpty() {
    return turns.isEmpty();
  }

  boolean isLast(AnswerTurn turn) {
    return turns.peekLast() == turn;
  }

  /** Whether the request of one more may begin. */
  boolean hasRoom() {
    AnswerTurn last = turns.peekLast();
    boolean mayFollow = last == null || last.mayBeFollowed();
    return mayFollow && turns.size() < MAX_PIPELINED && canHoldMore();
  }

  /** Whether more of an answer may be held for its turn. */
  boolean canHoldMore() {
    return heldBytes < MAX_HELD_BYTES;
  }

  /** The exchange that a piece of a body belongs to; null if to none. */
  Exchange exchangeOf(HttpContent content) {
    AnswerTurn last = turns.peekLast();
    boolean belongs = last != null && last.request() == content.getHttpHeader();
    return belongs ? last.exchange() : null;
  }

  /** Whether a request may run beside all those that are under way. */
  boolean mayStartBesideOthers(AnswerTurn turn) {
    return turn == turns.peekFirst() || AnswerTurn.allAllowOthersBeside(turns);
  }

  void hold(AnswerTurn turn, Object message, long bytes) {
    turn.hold(message, bytes);
    heldBytes += bytes;
  }

  List<Object> takeHeld(AnswerTurn turn) {
    heldBytes -= turn.heldBytes();
    return turn.takeHeld();
  }

  /** Takes all: no answer can be given any more. */
  List<Exchange> takeAll() {
    List<Exchange> open = turns.stream().map(AnswerTurn::exchange).toList();
    turns.clear();
    heldBytes = 0;
    return open;
  }
}
