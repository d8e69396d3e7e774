/**
 * Exchanges control messages between nodes as CBOR payloads in length-prefixed frames over TCP.
 *
 * <p>A frame consists of a four-byte big-endian length, which counts the bytes that follow it, a
 * one-byte protocol version, a one-byte {@link io.umberpath.transport.FrameKind} and the payload.
 * The first frame sent in each direction is a {@link io.umberpath.transport.Hello}.
 */
package io.umberpath.transport;
