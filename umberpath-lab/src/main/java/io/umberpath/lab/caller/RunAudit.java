package io.umberpath.lab.caller;

import io.umberpath.lab.backend.RunLedger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Compares what callers were told with what ran. */
public final class RunAudit {
  private RunAudit() {}

  /** Every contradiction, described; empty if callers were told the truth. */
  public static List<String> contradictions(CallRecords records, RunLedger ledger) {
    List<String> found = new ArrayList<>();
    for (Map.Entry<String, CallOutcome> call : records.oneTimeOutcomes().entrySet()) {
      int runs = ledger.runsOf(call.getKey());
      if (!isTrue(call.getValue(), runs)) {
        found.add(call.getKey() + " was told " + call.getValue() + " and ran " + runs + " times");
      }
    }
    for (String requestId : records.completedUploads()) {
      if (ledger.uploadOf(requestId) == null) {
        found.add("upload " + requestId + " was told COMPLETED and is not stored");
      }
    }
    return found;
  }

  private static boolean isTrue(CallOutcome told, int runs) {
    return switch (told) {
      case COMPLETED -> runs == 1;
      case NOT_RUN, SHED -> runs == 0;
      case MAY_HAVE_RUN, NO_ANSWER, WRONG_ANSWER -> runs <= 1;
    };
  }
}
