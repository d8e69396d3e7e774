package io.umberpath.node.proxy;

import io.umberpath.model.Verdict;
import io.umberpath.node.proxy.http.ResponseHead;
import io.umberpath.node.proxy.inbound.Exchange;
import io.umberpath.node.proxy.inbound.Refusal;
import io.umberpath.node.proxy.inbound.RequestHandler;
import io.umberpath.node.proxy.inbound.RequestPlan;
import io.umberpath.node.proxy.stats.ProxyStats;
import java.util.Optional;
import org.glassfish.grizzly.http.HttpRequestPacket;

/** A request handler that adds no headers and never retries. */
public abstract class StubRequestHandler implements RequestHandler {
  @Override
  public ProxyStats.Side side() {
    return ProxyStats.Side.EDGE;
  }

  @Override
  public void addHeaders(Exchange exchange, HttpRequestPacket outgoing, long nowMillis) {}

  @Override
  public String requestIdForResponse(RequestPlan plan) {
    return null;
  }

  @Override
  public Optional<Refusal> refusalInResponse(Exchange exchange, ResponseHead head) {
    return Optional.empty();
  }

  @Override
  public void attemptEnded(Exchange exchange, String originId, Refusal refusal, long micros) {}

  @Override
  public boolean mayRetry(Exchange exchange, Verdict verdict) {
    return false;
  }

  @Override
  public void requestEnded(Exchange exchange, Verdict verdict) {}
}
