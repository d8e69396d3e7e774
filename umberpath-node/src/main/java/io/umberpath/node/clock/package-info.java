/** The node's monotonic clock for ages, deadlines and silence timeouts. */
package io.umberpath.node.clock;
