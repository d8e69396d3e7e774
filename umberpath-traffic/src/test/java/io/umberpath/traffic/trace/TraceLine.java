package io.umberpath.traffic.trace;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.umberpath.model.Tier;
import java.util.List;

/**
 * One line of a trace: a call of a decision with its inputs and the expected result. Unused fields
 * are absent.
 *
 * @param at time, milliseconds
 * @param call name of the call, see {@link TraceReplay}
 * @param id request id of admission
 * @param tenant tenant of the request
 * @param tier tier of the request
 * @param deadline deadline or retry-after, milliseconds
 * @param micros service time or latency, microseconds
 * @param backend backend id
 * @param verdict verdict as {@code Completed}, {@code NotRun REASON} or {@code MayHaveRun REASON}
 * @param number spread, load, attempts, slots or chain budget
 * @param names excluded ids, phase, or flags
 * @param expect expected decisions, in order
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
record TraceLine(
    long at,
    String call,
    Long id,
    String tenant,
    Tier tier,
    Long deadline,
    Long micros,
    String backend,
    String verdict,
    Long number,
    List<String> names,
    List<String> expect) {}
