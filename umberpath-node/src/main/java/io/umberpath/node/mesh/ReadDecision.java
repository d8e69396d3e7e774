package io.umberpath.node.mesh;

import java.util.function.Supplier;

/**
 * Whether this node reads the store itself.
 *
 * @param shouldRead whether it reads the store
 * @param isStandby whether enough other nodes read promptly, so that this one may call less often
 * @param inputs the inputs of the decision, for a log line
 */
record ReadDecision(boolean shouldRead, boolean isStandby, Supplier<String> inputs) {}
