package io.umberpath.node;

/** Entry point of {@code umberpath}. */
public final class Main {
  private Main() {}

  /** Runs the command named by the arguments. */
  public static void main(String[] arguments) {
    System.err.println("umberpath: no command yet");
    System.exit(2);
  }
}
