package io.umberpath.traffic.quarantine;

import java.util.List;

/**
 * What is held against one request, as nodes tell each other.
 *
 * @param marks ends of back ends that ran it
 */
public record Suspicion(RequestFingerprint request, List<CrashMark> marks) {}
