package io.umberpath.traffic;

import java.util.Optional;

/**
 * Remaining retries of one request, shared by all proxies along its chain of calls.
 *
 * <p>Carried in the header {@value #HEADER}, one decimal digit, in both directions. In a request it
 * is the number of retries that the receiver may spend; a backend should copy it to the calls it
 * makes on behalf of the request. In a refusal it is the number that the sender of the request may
 * still spend: a proxy that gives up returns {@code 0}, so that a failure is retried only next to
 * its cause and never again further up. Immutable.
 *
 * @param retriesLeft remaining retries, 0 to 9
 */
public record ChainRetryBudget(int retriesLeft) {
  /** Header name in requests and refusals. */
  public static final String HEADER = "Umberpath-Retry";

  /** Upper bound on the retries of a chain. */
  public static final int MAX_RETRIES = 9;

  /** No retries left; also returned by a proxy that gives up. */
  public static final ChainRetryBudget NONE = new ChainRetryBudget(0);

  /** Validates the number of retries. */
  public ChainRetryBudget {
    SettingChecks.requireBetween("retriesLeft", retriesLeft, 0, MAX_RETRIES);
  }

  /** Budget of a request without the header, which enters the mesh here. */
  public static ChainRetryBudget atEntry(RetrySettings settings) {
    return new ChainRetryBudget(settings.chainRetries());
  }

  /**
   * Reads the header of a request.
   *
   * @param header its value, if present
   * @return the smaller of the value and this proxy's own limit; {@link #NONE} if the value is
   *     malformed
   */
  public static ChainRetryBudget ofRequest(Optional<String> header, RetrySettings settings) {
    ChainRetryBudget own = atEntry(settings);
    return header.map(value -> own.atMost(parse(value))).orElse(own);
  }

  /**
   * Applies the header of a refusal.
   *
   * @param header its value, if present
   */
  public ChainRetryBudget afterRefusal(Optional<String> header) {
    return header.map(value -> atMost(parse(value))).orElse(this);
  }

  /** Budget that is left at this proxy after one retry. */
  public ChainRetryBudget afterRetry() {
    return new ChainRetryBudget(Math.max(0, retriesLeft - 1));
  }

  /**
   * Budget that an attempt carries to the next hop.
   *
   * @param attempt 1 for the first; a retry carries {@link #NONE}, so that retries do not multiply
   */
  public ChainRetryBudget forAttempt(int attempt) {
    return attempt == 1 ? this : NONE;
  }

  /** Encodes the header value. */
  public String encode() {
    return Integer.toString(retriesLeft);
  }

  private ChainRetryBudget atMost(ChainRetryBudget other) {
    return other.retriesLeft < retriesLeft ? other : this;
  }

  private static ChainRetryBudget parse(String value) {
    String digits = value.strip();
    boolean isOneDigit = digits.length() == 1 && digits.charAt(0) >= '0' && digits.charAt(0) <= '9';
    return isOneDigit ? new ChainRetryBudget(digits.charAt(0) - '0') : NONE;
  }
}
