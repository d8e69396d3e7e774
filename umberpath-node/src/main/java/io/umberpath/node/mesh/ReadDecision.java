package io.umberpath.node.mesh;

import java.util.function.Supplier;

/**
 * Whether this node calls the store itself.
 *
 * @param reads whether it does
 * @param inputs what that was decided from, for a log line
 */
record ReadDecision(boolean reads, Supplier<String> inputs) {}
