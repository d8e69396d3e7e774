package io.umberpath.lab;

/** Entry point of {@code umberpath-lab}. */
public final class Main {
  private Main() {}

  /** Runs the command named by the arguments. */
  public static void main(String[] arguments) {
    System.err.println("umberpath-lab: no command yet");
    System.exit(2);
  }
}
