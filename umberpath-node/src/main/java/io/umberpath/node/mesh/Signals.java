package io.umberpath.node.mesh;

import java.lang.reflect.Proxy;

/**
 * Runs a task on the signal that requests a reload of the settings. Without a handler, the signal
 * would terminate the JVM. The signal classes are used by reflection because the compiler rejects
 * them as internal API.
 */
public final class Signals {
  private static final String RELOAD_SIGNAL = "HUP";

  private Signals() {}

  /** Runs the task on each reload signal; does nothing where signals cannot be handled. */
  public static void onReload(Runnable task) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object taskHandler =
          Proxy.newProxyInstance(
              Signals.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  task.run();
                }
                return null;
              });
      signal
          .getMethod("handle", signal, handler)
          .invoke(
              null, signal.getConstructor(String.class).newInstance(RELOAD_SIGNAL), taskHandler);
    } catch (ReflectiveOperationException | IllegalArgumentException unavailable) {
      // Without signals, a changed file takes effect at the next start.
      return;
    }
  }
}
