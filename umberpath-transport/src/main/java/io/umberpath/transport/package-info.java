/**
 * Control messages between nodes: CBOR payloads in length-prefixed frames over TCP connections.
 *
 * <p>A frame is a four-byte big-endian length of everything after it, one byte protocol version,
 * one byte {@link io.umberpath.transport.FrameKind} and the payload. The first frame in each
 * direction is a {@link io.umberpath.transport.Hello}.
 */
package io.umberpath.transport;
