package io.umberpath.node.proxy.stats;

import io.umberpath.model.Verdict;

/** Counts what happens on the request path. Thread-safe and fast. */
public interface ProxyStats {
  /** Which listener a request came in on. */
  enum Side {
    /** From callers. */
    EDGE,
    /** From other nodes. */
    HOP
  }

  /** A request has its final outcome. */
  void requestEnded(Side side, Verdict verdict, long micros);

  /** An attempt failed and the request was sent again. */
  void retried(Verdict verdict);

  /** Requests in flight. */
  void inFlight(Side side, int change);

  /** Counts nothing. */
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
