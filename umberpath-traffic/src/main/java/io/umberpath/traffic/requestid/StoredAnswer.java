package io.umberpath.traffic.requestid;

import java.util.Arrays;

/**
 * A small answer kept for repeats of its request.
 *
 * @param status HTTP status
 * @param contentType value of {@code Content-Type}, empty if it had none
 * @param body the whole body
 */
public record StoredAnswer(int status, String contentType, byte[] body) {
  @Override
  public boolean equals(Object other) {
    return other instanceof StoredAnswer that
        && status == that.status
        && contentType.equals(that.contentType)
        && Arrays.equals(body, that.body);
  }

  @Override
  public int hashCode() {
    return 31 * status + Arrays.hashCode(body);
  }

  @Override
  public String toString() {
    return "StoredAnswer[status=" + status + ", bytes=" + body.length + "]";
  }
}
