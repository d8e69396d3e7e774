package io.umberpath.node.mesh;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.RequestHead;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.traffic.quarantine.RequestFingerprint;
import java.util.Optional;
import java.util.OptionalLong;
import org.glassfish.grizzly.http.util.Header;

/** Fingerprints of requests on the wire; every node works out the same from what it gets. */
final class Fingerprints {
  private Fingerprints() {}

  /** The part of a request's fingerprint that its head tells. */
  static long targetOf(RequestHead head) {
    String target = head.query().map(query -> head.path() + '?' + query).orElse(head.path());
    return RequestFingerprint.targetOf(
        head.method(),
        head.field(Header.Host.toString()).orElse(null),
        target,
        head.field(Header.Authorization.toString()).orElse(null));
  }

  /** The fingerprint; empty while too little of the body has been received to tell. */
  static Optional<RequestFingerprint> of(Exchange exchange, long targetHash) {
    OptionalLong bodyHash = exchange.body().hash();
    return bodyHash.isPresent()
        ? Optional.of(new RequestFingerprint(targetHash, bodyHash.getAsLong()))
        : Optional.empty();
  }

  /**
   * Its form in a log line about a request that ended so; empty if it is not known, or the request
   * certainly did not run: those lines are many, and what they refuse has done no harm.
   */
  static String logText(Exchange exchange, long targetHash, Verdict verdict) {
    return verdict instanceof Verdict.NotRun ? "" : logText(exchange, targetHash);
  }

  /** Its form in log lines; empty if it is not known. */
  static String logText(Exchange exchange, long targetHash) {
    return of(exchange, targetHash).map(RequestFingerprint::text).orElse("");
  }
}
