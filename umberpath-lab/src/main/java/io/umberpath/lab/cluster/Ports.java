package io.umberpath.lab.cluster;

/**
 * Ports of a node or back end. Each has a loopback address of its own, and these lie below the
 * range the kernel takes ports for outgoing connections from, so that a port stays free while its
 * process is down.
 */
final class Ports {
  static final int CONTROL = 7_100;
  static final int HOP = 7_200;
  static final int OPERATOR = 7_300;
  static final int ADMIN = 7_400;
  static final int PLATFORM = 7_500;
  static final int EDGE = 8_080;
  static final int BACKEND = 9_000;

  private Ports() {}
}
