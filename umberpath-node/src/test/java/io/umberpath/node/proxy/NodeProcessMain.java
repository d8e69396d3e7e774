package io.umberpath.node.proxy;

import java.util.concurrent.CountDownLatch;

/** A process with an edge proxy and a hop proxy, started by a test. */
final class NodeProcessMain {
  private NodeProcessMain() {}

  /** Runs until killed; prints the port of the edge proxy. */
  public static void main(String[] arguments) throws Exception {
    ProxyFixture fixture = new ProxyFixture(0, Integer.parseInt(arguments[0]));
    System.out.println(fixture.edge.edgePort());
    new CountDownLatch(1).await();
    fixture.close();
  }
}
