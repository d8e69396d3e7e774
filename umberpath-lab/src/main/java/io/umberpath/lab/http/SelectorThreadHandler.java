package io.umberpath.lab.http;

import org.glassfish.grizzly.http.server.HttpHandler;
import org.glassfish.grizzly.http.server.RequestExecutorProvider;

/** A handler that runs on the selector thread and so must not block. */
public abstract class SelectorThreadHandler extends HttpHandler {
  private static final RequestExecutorProvider SAME_THREAD =
      new RequestExecutorProvider.SameThreadProvider();

  @Override
  public final RequestExecutorProvider getRequestExecutorProvider() {
    return SAME_THREAD;
  }
}
