package io.umberpath.node.mesh;

import java.lang.reflect.Proxy;

/**
 * Handles the signal to read the settings again. The virtual machine would end the process at it.
 * Reached by reflection, for the compiler refuses the class as internal.
 */
public final class Signals {
  private static final String RELOAD_SIGNAL = "HUP";

  private Signals() {}

  /** Runs the task at each signal; does nothing where signals cannot be handled. */
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
      // Without it a changed file is taken at the next start.
      return;
    }
  }
}
