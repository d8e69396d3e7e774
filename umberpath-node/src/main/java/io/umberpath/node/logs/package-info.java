/** Names of the structured fields in log lines. */
package io.umberpath.node.logs;
