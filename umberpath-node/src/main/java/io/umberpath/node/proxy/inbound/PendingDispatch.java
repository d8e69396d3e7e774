package io.umberpath.node.proxy.inbound;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.loop.NewRequest;

/** A request that has been read and is to be dispatched once the event loop gets to it. */
record PendingDispatch(Exchange exchange) implements NewRequest {
  @Override
  public void begin() {
    exchange.dispatchIfWanted();
  }

  /**
   * Refuses the request. Asks the client to come back after as long as the event loop has been
   * behind this request: sooner, it would meet the same backlog.
   */
  @Override
  public void refuse(long waitedMillis) {
    long retryAfterMillis = Math.max(1, exchange.age().unreadMillis() + waitedMillis);
    exchange.refuse(new Refusal(new Verdict.NotRun(Verdict.Reason.OVERLOADED), retryAfterMillis));
  }
}
