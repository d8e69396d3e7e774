package io.umberpath.node.platform;

import java.io.IOException;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;

/** Grizzly's HTTP codec, with every parse error turned into a failed read. */
final class AnswerCodecFilter extends HttpClientFilter {
  AnswerCodecFilter(int maxHeaderBytes) {
    super(maxHeaderBytes);
  }

  @Override
  public NextAction handleRead(FilterChainContext context) throws IOException {
    try {
      NextAction next = super.handleRead(context);
      return brokenBody(context) ? refuse(context, "its framing is broken") : next;
    } catch (RuntimeException failure) {
      return refuse(context, failure.toString());
    }
  }

  @Override
  protected void onHttpHeaderError(
      HttpHeader header, FilterChainContext context, Throwable failure) {
    refuse(context, failure.toString());
  }

  private static boolean brokenBody(FilterChainContext context) {
    return context.getMessage() instanceof HttpContent content && HttpContent.isBroken(content);
  }

  private static NextAction refuse(FilterChainContext context, String detail) {
    DocumentFilter.fail(context, new PlatformReadException("answer is not valid HTTP: " + detail));
    context.getConnection().terminateSilently();
    return context.getStopAction();
  }
}
