package io.umberpath.model;

/**
 * One reason why an input was refused.
 *
 * @param field path of the field, for example {@code routes[0].pool}
 * @param value the offending value as text; never a secret's value
 * @param message what would have been accepted
 */
public record Violation(String field, String value, String message) {
  @Override
  public String toString() {
    return field + " = '" + value + "': " + message;
  }
}
