/**
 * Mutual TLS between nodes: loads and reloads certificate files and provides the Grizzly filter.
 */
package io.umberpath.transport.tls;
