/** Structured logging: field names, JSON output and parsing of log lines. */
package io.umberpath.node.logs;
