package io.umberpath.lab.backend;

import io.umberpath.lab.workload.RequestKind;
import io.umberpath.lab.workload.WholeAnswer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;

/** Takes the requests of a back end, one at a time per connection. */
final class BackendFilter extends BaseFilter {
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final Pattern FILLER =
      Pattern.compile("(?:^|&)" + WholeAnswer.FILLER_PARAMETER + "=(\\d{1,8})(?:&|$)");
  private static final Attribute<BackendExchange> EXCHANGE =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.lab.exchange");

  private final BackendStandIn backend;

  BackendFilter(BackendStandIn backend) {
    this.backend = backend;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    Connection<?> connection = context.getConnection();
    HttpContent content = context.getMessage();
    HttpRequestPacket request = (HttpRequestPacket) content.getHttpHeader();
    BackendExchange exchange = EXCHANGE.get(connection);
    if (exchange == null || !exchange.isOf(request)) {
      exchange = new BackendExchange(backend, connection, request, fillerBytes(request));
      EXCHANGE.set(connection, exchange);
      begin(exchange, request);
    }
    exchange.bodyPart(content.getContent(), content.isLast());
    return context.getStopAction();
  }

  @Override
  public NextAction handleClose(FilterChainContext context) {
    BackendExchange exchange = EXCHANGE.remove(context.getConnection());
    if (exchange != null) {
      exchange.cancel();
    }
    return context.getStopAction();
  }

  private void begin(BackendExchange exchange, HttpRequestPacket request) {
    String path = request.getRequestURI();
    Optional<RequestKind> kind = RequestKind.of(request.getMethod().getMethodString(), path);
    String requestId = request.getHeader(WholeAnswer.REQUEST_ID);
    if (path.equals("/health") || path.equals("/load")) {
      long micros = TimeUnit.MILLISECONDS.toMicros(backend.settings().probeMillis());
      backend.later(micros, () -> exchange.answer(probe(path)));
    } else if (kind.isEmpty()) {
      exchange.answer(BackendAnswer.refused(NOT_FOUND, "no such resource"));
    } else if (requestId == null || requestId.isBlank()) {
      exchange.answer(BackendAnswer.refused(BAD_REQUEST, WholeAnswer.REQUEST_ID + " is missing"));
    } else if (backend.isDraining()) {
      exchange.answer(BackendAnswer.draining());
    } else {
      exchange.begin(kind.get(), requestId);
    }
  }

  private BackendAnswer probe(String path) {
    LoadSignal.Sample sample = backend.reportedLoad();
    return path.equals("/health")
        ? BackendAnswer.health(sample)
        : BackendAnswer.load(sample, backend.settings().slots());
  }

  private static int fillerBytes(HttpRequestPacket request) {
    Matcher asked = FILLER.matcher(String.valueOf(request.getQueryString()));
    return asked.find()
        ? Math.min(Integer.parseInt(asked.group(1)), WholeAnswer.MAX_FILLER_BYTES)
        : 0;
  }
}
