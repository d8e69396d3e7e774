/** The node's own clock for ages, deadlines and silence. */
package io.umberpath.node.clock;
