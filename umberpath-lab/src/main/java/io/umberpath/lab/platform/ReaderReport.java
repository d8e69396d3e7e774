package io.umberpath.lab.platform;

/**
 * How many nodes read the platform.
 *
 * @param requests reads since start
 * @param concurrent reads under way now
 * @param maxConcurrent most reads under way at once
 * @param distinct different readers in the last ten seconds
 * @param maxDistinct most different readers in any ten seconds
 */
public record ReaderReport(
    long requests, int concurrent, int maxConcurrent, int distinct, int maxDistinct) {}
