package io.umberpath.traffic;

import java.util.Optional;

/**
 * How often one request may still be sent again, shared by all proxies along its chain of calls.
 *
 * <p>Carried as the header {@value #HEADER}, one decimal digit, in both directions. In a request it
 * is what the receiver may spend; a back end should copy it to the calls it makes on behalf of the
 * request. In a refusal it is what the sender of the request may still spend: a proxy that gives up
 * answers {@code 0}, so that a failure is retried beside its cause only and never again further up.
 * Immutable.
 *
 * @param retriesLeft retries that may still be made, 0 to 9
 */
public record ChainBudget(int retriesLeft) {
  /** Header of requests and refusals. */
  public static final String HEADER = "Umberpath-Retry";

  /** Largest number of retries a chain may have. */
  public static final int MAX_RETRIES = 9;

  /** No retry may be made; also what a proxy answers when it gives up. */
  public static final ChainBudget NONE = new ChainBudget(0);

  /** Checks the number. */
  public ChainBudget {
    Settings.between("retriesLeft", retriesLeft, 0, MAX_RETRIES);
  }

  /** What a request without the header may spend: it enters the mesh here. */
  public static ChainBudget atEntry(RetrySettings settings) {
    return new ChainBudget(settings.chainRetries());
  }

  /**
   * Reads a request's header.
   *
   * @param header its value, if the request has it
   * @return the smaller of the value and this proxy's own limit; {@link #NONE} if the value is
   *     malformed
   */
  public static ChainBudget ofRequest(Optional<String> header, RetrySettings settings) {
    ChainBudget own = atEntry(settings);
    return header.map(value -> own.atMost(parse(value))).orElse(own);
  }

  /**
   * Applies a refusal's header.
   *
   * @param header its value, if the refusal has it
   */
  public ChainBudget afterRefusal(Optional<String> header) {
    return header.map(value -> atMost(parse(value))).orElse(this);
  }

  /** What is left at this proxy when it has made one retry. */
  public ChainBudget afterRetry() {
    return new ChainBudget(Math.max(0, retriesLeft - 1));
  }

  /**
   * What an attempt carries to the next hop.
   *
   * @param attempt 1 for the first; a retry carries {@link #NONE}, so that it is not multiplied
   */
  public ChainBudget forAttempt(int attempt) {
    return attempt == 1 ? this : NONE;
  }

  /** The header's value. */
  public String encode() {
    return Integer.toString(retriesLeft);
  }

  private ChainBudget atMost(ChainBudget other) {
    return other.retriesLeft < retriesLeft ? other : this;
  }

  private static ChainBudget parse(String value) {
    String digits = value.strip();
    boolean isOneDigit = digits.length() == 1 && digits.charAt(0) >= '0' && digits.charAt(0) <= '9';
    return isOneDigit ? new ChainBudget(digits.charAt(0) - '0') : NONE;
  }
}
