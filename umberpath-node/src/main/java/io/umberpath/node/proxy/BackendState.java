package io.umberpath.node.proxy;

import io.umberpath.node.proxy.http.ProxyHeaders;
import org.glassfish.grizzly.http.HttpResponsePacket;

/** What this node knows of the back end beside it. Thread-safe. */
final class BackendState {
  private volatile boolean draining;

  /** Whether the back end has said that it is leaving. */
  boolean isDraining() {
    return draining;
  }

  /** Looks at an answer's head. */
  void answered(HttpResponsePacket head) {
    if ("true".equals(head.getHeader(ProxyHeaders.DRAINING))) {
      draining = true;
    }
  }
}
