/** Measurements of the connections between nodes, on real sockets. */
package io.umberpath.lab.transport;
