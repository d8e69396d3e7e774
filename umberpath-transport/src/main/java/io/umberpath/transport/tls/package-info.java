/** Mutual TLS between nodes: certificate files, their reload and the Grizzly filter. */
package io.umberpath.transport.tls;
