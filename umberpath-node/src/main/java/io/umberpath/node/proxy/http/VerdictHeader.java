package io.umberpath.node.proxy.http;

import io.umberpath.model.Verdict;
import java.util.Locale;
import java.util.Optional;

/** Formats and parses the verdict header, for example {@code not-run; reason=overloaded}. */
public final class VerdictHeader {
  private static final String NOT_RUN = "not-run";
  private static final String MAY_HAVE_RUN = "may-have-run";
  private static final String REASON = "; reason=";

  private VerdictHeader() {}

  /** Formats the header's value; {@code completed} for a completed request. */
  public static String format(Verdict verdict) {
    if (verdict instanceof Verdict.NotRun notRun) {
      return NOT_RUN + REASON + reasonName(notRun.reason());
    }
    if (verdict instanceof Verdict.MayHaveRun mayHaveRun) {
      return MAY_HAVE_RUN + REASON + reasonName(mayHaveRun.reason());
    }
    return "completed";
  }

  /** Parses the value for a rejected or failed request; empty for any other text. */
  public static Optional<Verdict> parse(String value) {
    int separator = value.indexOf(REASON);
    if (separator < 0) {
      return Optional.empty();
    }
    Optional<Verdict.Reason> reason = parseReason(value.substring(separator + REASON.length()));
    return switch (value.substring(0, separator)) {
      case NOT_RUN -> reason.map(Verdict.NotRun::new);
      case MAY_HAVE_RUN -> reason.map(Verdict.MayHaveRun::new);
      default -> Optional.empty();
    };
  }

  /** Returns the reason why a request was rejected or failed. */
  public static Verdict.Reason reasonOf(Verdict verdict) {
    if (verdict instanceof Verdict.NotRun notRun) {
      return notRun.reason();
    }
    if (verdict instanceof Verdict.MayHaveRun mayHaveRun) {
      return mayHaveRun.reason();
    }
    throw new IllegalArgumentException("a completed request has no reason");
  }

  /** Name of a reason in lower case, with hyphens between words. */
  public static String reasonName(Verdict.Reason reason) {
    return reason.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static Optional<Verdict.Reason> parseReason(String text) {
    for (Verdict.Reason reason : Verdict.Reason.values()) {
      if (reasonName(reason).equals(text)) {
        return Optional.of(reason);
      }
    }
    return Optional.empty();
  }
}
