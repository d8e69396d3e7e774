package io.umberpath.model;

/** Kinds of resources that operators create. */
public enum ResourceKind {
  /** A rule that sends requests of a host and path prefix to a pool. */
  ROUTE,
  /** A named group of backends, backed by a service of the platform. */
  POOL,
  /** A credential that a route adds to requests on their way to the backend. */
  SECRET
}
