package io.umberpath.node.mesh;

import java.util.function.Supplier;

/**
 * Whether this node calls the store itself.
 *
 * @param shouldRead whether it does
 * @param isStandby whether enough others call it promptly, so that this one may call more rarely
 * @param inputs what that was decided from, for a log line
 */
record ReadDecision(boolean shouldRead, boolean isStandby, Supplier<String> inputs) {}
