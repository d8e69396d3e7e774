package io.umberpath.model;

/** The kinds of resource operators create. */
public enum ResourceKind {
  /** A rule that sends requests of a host and path prefix to a pool. */
  ROUTE,
  /** A named group of back ends, backed by a service of the platform. */
  POOL,
  /** A credential a route adds to requests on their way to the back end. */
  SECRET
}
