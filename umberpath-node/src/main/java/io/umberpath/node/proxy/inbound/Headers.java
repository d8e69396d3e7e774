package io.umberpath.node.proxy.inbound;

import io.umberpath.node.proxy.http.MessageHead;
import io.umberpath.node.proxy.http.ProxyHeaders;
import io.vavr.control.Either;
import java.util.Optional;
import org.glassfish.grizzly.http.HttpRequestPacket;

/** Reads and writes the headers that proxies exchange, see {@link ProxyHeaders}. */
public final class Headers {
  private static final int MAX_DIGITS = 12;

  private Headers() {}

  /**
   * Reads the time left until the client's deadline, milliseconds.
   *
   * @return empty if the header is absent; an error message that names the header if it is
   *     malformed
   */
  public static Either<String, Optional<Long>> deadlineMillis(MessageHead request) {
    Optional<String> text = request.field(ProxyHeaders.DEADLINE_MILLIS);
    if (text.isEmpty()) {
      return Either.right(Optional.empty());
    }
    Optional<Long> number = number(text.get());
    return number.isPresent()
        ? Either.right(number)
        : Either.left(ProxyHeaders.DEADLINE_MILLIS + " is not a number of milliseconds");
  }

  /**
   * How long the request may have been waiting unread at earlier nodes, milliseconds; 0 if not
   * given.
   */
  public static long unreadMillis(MessageHead request) {
    return request.field(ProxyHeaders.UNREAD_MILLIS).flatMap(Headers::number).orElse(0L);
  }

  /**
   * Adds the header that tells the next node how long the request may have been waiting unread
   * here.
   */
  public static void addUnread(Exchange exchange, HttpRequestPacket outgoing) {
    long unreadMillis = exchange.age().unreadMillis();
    if (unreadMillis > 0) {
      outgoing
          .getHeaders()
          .setValue(ProxyHeaders.UNREAD_MILLIS)
          .setString(Long.toString(unreadMillis));
    }
  }

  /**
   * How long a refusal of another node asks not to use its backend, milliseconds; 0 if not given.
   */
  public static long retryAfterMillis(MessageHead refusal) {
    return refusal.field(ProxyHeaders.RETRY_AFTER_MILLIS).flatMap(Headers::number).orElse(0L);
  }

  /** Parses a non-negative decimal number of at most 12 digits; empty if malformed. */
  public static Optional<Long> number(String text) {
    if (text.isEmpty() || text.length() > MAX_DIGITS) {
      return Optional.empty();
    }
    for (int index = 0; index < text.length(); index++) {
      if (text.charAt(index) < '0' || text.charAt(index) > '9') {
        return Optional.empty();
      }
    }
    return Optional.of(Long.parseLong(text));
  }
}
