package io.umberpath.transport;

/**
 * A transport fault with details for the log.
 *
 * @param fault the category of the fault
 * @param detail names the field and value at fault; must not contain message content
 */
public record TransportError(TransportFault fault, String detail) {}
