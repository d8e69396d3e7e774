package io.umberpath.model;

/** Priority that a tenant pays for; under overload an earlier constant takes precedence. */
public enum Tier {
  /** Highest priority. */
  PREMIUM,
  /** Middle priority. */
  STANDARD,
  /** Lowest priority; bounded delay, never starved. */
  BASIC
}
