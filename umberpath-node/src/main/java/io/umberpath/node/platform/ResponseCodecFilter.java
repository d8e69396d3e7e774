package io.umberpath.node.platform;

import java.io.IOException;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;

/** Grizzly's HTTP codec; reports every parse error as a failed read. */
final class ResponseCodecFilter extends HttpClientFilter {
  ResponseCodecFilter(int maxHeaderBytes) {
    super(maxHeaderBytes);
  }

  @Override
  public NextAction handleRead(FilterChainContext context) throws IOException {
    try {
      NextAction next = super.handleRead(context);
      return hasBrokenBody(context) ? failRead(context, "its framing is broken") : next;
    } catch (RuntimeException failure) {
      return failRead(context, failure.toString());
    }
  }

  @Override
  protected void onHttpHeaderError(
      HttpHeader header, FilterChainContext context, Throwable failure) {
    failRead(context, failure.toString());
  }

  private static boolean hasBrokenBody(FilterChainContext context) {
    return context.getMessage() instanceof HttpContent content && HttpContent.isBroken(content);
  }

  private static NextAction failRead(FilterChainContext context, String detail) {
    DocumentFilter.fail(context, new PlatformReadException("answer is not valid HTTP: " + detail));
    context.getConnection().terminateSilently();
    return context.getStopAction();
  }
}
