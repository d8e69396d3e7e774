package io.umberpath.node.proxy.stats;

import io.umberpath.model.Verdict;

/** Records statistics of the request path. Thread-safe; must be fast. */
public interface ProxyStats {
  /** The listener at which a request arrived. */
  enum Side {
    /** Requests of clients. */
    EDGE,
    /** From other nodes. */
    HOP
  }

  /**
   * Called when a request has its final verdict.
   *
   * @param micros duration of the request, microseconds
   */
  void requestEnded(Side side, Verdict verdict, long micros);

  /** Called when an attempt failed and the request is retried. */
  void retried(Verdict verdict);

  /** Changes the number of requests in flight. */
  void inFlight(Side side, int change);

  /** Records nothing. */
  ProxyStats NONE =
      new ProxyStats() {
        @Override
        public void requestEnded(Side side, Verdict verdict, long micros) {}

        @Override
        public void retried(Verdict verdict) {}

        @Override
        public void inFlight(Side side, int change) {}
      };
}
