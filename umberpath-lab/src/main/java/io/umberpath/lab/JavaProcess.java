package io.umberpath.lab;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Prepares further Java processes that run what this one is made of. */
public final class JavaProcess {
  private JavaProcess() {}

  /**
   * A process with this one's Java and class path, not started yet.
   *
   * @param javaOptions options of the virtual machine
   * @param main class whose main method it runs
   * @param arguments arguments of the main method
   */
  public static ProcessBuilder prepare(
      List<String> javaOptions, Class<?> main, List<String> arguments) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(javaOptions);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), main.getName()));
    command.addAll(arguments);
    return new ProcessBuilder(command);
  }
}
