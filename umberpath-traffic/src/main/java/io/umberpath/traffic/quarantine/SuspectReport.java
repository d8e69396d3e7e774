package io.umberpath.traffic.quarantine;

import java.util.List;

/**
 * Report about one suspected request, exchanged between nodes.
 *
 * @param request the suspected request
 * @param marks crashes of backends that were running it
 */
public record SuspectReport(RequestFingerprint request, List<CrashMark> marks) {}
