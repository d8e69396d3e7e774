package io.umberpath.node.proxy.loop;

/** Where a new request comes from, which decides how it waits for an event loop that is behind. */
public enum RequestOrigin {
  /**
   * The local backend, where a request holds a slot until its call is answered. The slots bound how
   * many there are, so they are served as work under way is and never refused.
   */
  LOCAL_BACKEND,
  /** Another node, which has already spent work on the request. */
  PEER,
  /** A client. */
  CLIENT
}
