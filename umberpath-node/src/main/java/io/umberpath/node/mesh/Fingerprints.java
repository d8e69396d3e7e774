package io.umberpath.node.mesh;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import java.util.Optional;
import java.util.OptionalLong;
import org.glassfish.grizzly.http.util.Header;

/**
 * Computes fingerprints of requests. Every node computes the same fingerprint for the same request.
 */
final class Fingerprints {
  private Fingerprints() {}

  /** Returns the part of the fingerprint that depends on the request's head. */
  static long hashTarget(RequestHead head) {
    String target = head.query().map(query -> head.path() + '?' + query).orElse(head.path());
    return RequestFingerprint.hashTarget(
        head.method(),
        head.field(Header.Host.toString()).orElse(null),
        target,
        head.field(Header.Authorization.toString()).orElse(null));
  }

  /** Returns the fingerprint; empty if not enough of the body has been received. */
  static Optional<RequestFingerprint> of(Exchange exchange, long targetHash) {
    OptionalLong bodyHash = exchange.body().hash();
    return bodyHash.isPresent()
        ? Optional.of(new RequestFingerprint(targetHash, bodyHash.getAsLong()))
        : Optional.empty();
  }

  /**
   * Returns the fingerprint for a log line about a request with this verdict. Empty if it is
   * unknown or if the request certainly did not run: such lines are frequent, and the refused
   * requests did no harm.
   */
  static String logText(Exchange exchange, long targetHash, Verdict verdict) {
    return verdict instanceof Verdict.NotRun ? "" : logText(exchange, targetHash);
  }

  /** Returns the fingerprint for log lines; empty if it is unknown. */
  static String logText(Exchange exchange, long targetHash) {
    return of(exchange, targetHash).map(RequestFingerprint::text).orElse("");
  }
}
