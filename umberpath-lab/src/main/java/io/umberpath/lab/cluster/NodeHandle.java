package io.umberpath.lab.cluster;

import io.umberpath.lab.JavaProcess;
import io.umberpath.node.Main;
import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One node's process, started, signalled and restarted by its own process id. Not thread-safe. */
public final class NodeHandle {
  private static final long KILL_SECONDS = 30;

  private final NodeSpec spec;
  private final Path settings;
  private final File log;
  private final List<String> javaOptions;
  private Process process;

  NodeHandle(NodeSpec spec, Path settings, File log, List<String> javaOptions) {
    this.spec = spec;
    this.settings = settings;
    this.log = log;
    this.javaOptions = List.copyOf(javaOptions);
  }

  /** What it is. */
  public NodeSpec spec() {
    return spec;
  }

  /** Process id of the newest process. */
  public long pid() {
    return process.pid();
  }

  /** Whether its process runs. */
  public boolean isAlive() {
    return process != null && process.isAlive();
  }

  /**
   * Starts a new process; log lines are appended to the node's file.
   *
   * @throws IOException if it cannot be started
   */
  public void start() throws IOException {
    List<String> arguments = List.of("node", "--config", settings.toString());
    process =
        JavaProcess.prepare(javaOptions, Main.class, arguments)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
  }

  /** Ends the process at once (SIGKILL) and waits until it is gone. */
  public void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(KILL_SECONDS, TimeUnit.SECONDS);
  }

  /** Asks for a planned stop (SIGTERM). */
  public void stop() {
    process.destroy();
  }

  /** Waits for the process to end; false if it still runs after the time given. */
  public boolean awaitEnd(long seconds) throws InterruptedException {
    return process.waitFor(seconds, TimeUnit.SECONDS);
  }

  /** Pauses the process (SIGSTOP). */
  public void pause() throws IOException, InterruptedException {
    signal("STOP");
  }

  /** Lets a paused process go on (SIGCONT). */
  public void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  private void signal(String name) throws IOException, InterruptedException {
    int code = new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
    if (code != 0) {
      throw new IOException("signal " + name + " to " + spec.name() + " failed: " + code);
    }
  }
}
