package io.umberpath.lab.simulate;

/**
 * Something happened that must never happen.
 *
 * @param invariant stable name of what was broken
 * @param detail what was seen
 * @param atNanos virtual time since the start
 */
public record InvariantViolation(String invariant, String detail, long atNanos) {}
