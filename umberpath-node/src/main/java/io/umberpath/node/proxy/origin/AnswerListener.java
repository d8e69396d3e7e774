package io.umberpath.node.proxy.origin;

import io.umberpath.model.Verdict;

/** Receives what happens on a connection during one attempt; called from I/O threads, in order. */
public interface AnswerListener {
  /** An interim answer, raw. */
  void onInterim(byte[] head);

  /**
   * A piece of the answer.
   *
   * @return whether to go on reading; if not, {@link #whenReadyForMore} is called next
   */
  boolean onAnswerPart(AnswerPart part);

  /** Runs the action once more of the answer can be taken, possibly at once. */
  void whenReadyForMore(Runnable resume);

  /** The attempt is over without a whole answer. */
  void onBroken(Verdict.Reason reason);
}
