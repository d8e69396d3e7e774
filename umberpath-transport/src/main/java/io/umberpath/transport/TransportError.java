package io.umberpath.transport;

/**
 * A fault and what is known of it.
 *
 * @param fault the cause
 * @param detail names the field and value at fault, free of message content
 */
public record TransportError(TransportFault fault, String detail) {}
