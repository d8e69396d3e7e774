package io.umberpath.node.proxy.origin;

import io.umberpath.model.Verdict;

/** Receives the response events of one attempt, in order, on I/O threads. */
public interface ResponseListener {
  /** Called with the raw head of an interim (1xx) response. */
  void onInterimResponse(byte[] head);

  /**
   * Called with the next part of the response.
   *
   * @return whether to continue reading; if not, {@link #whenReadyForMore} is called next
   */
  boolean onResponsePart(ResponsePart part);

  /** Runs the action when the listener can accept more of the response, possibly immediately. */
  void whenReadyForMore(Runnable resume);

  /** Called when the attempt has ended without a complete response. */
  void onFailure(Verdict.Reason reason);
}
