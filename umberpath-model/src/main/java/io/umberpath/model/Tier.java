package io.umberpath.model;

/** The priority a tenant pays for; an earlier constant goes first when the fleet is busy. */
public enum Tier {
  /** Highest priority. */
  PREMIUM,
  /** Middle priority. */
  STANDARD,
  /** Lowest priority; bounded delay, never starved. */
  BASIC
}
