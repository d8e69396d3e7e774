package io.umberpath.transport;

import io.umberpath.model.PeerAddress;

/**
 * Payload of the first frame in each direction; identifies the sender.
 *
 * @param protocolVersion protocol version that the sender uses
 * @param listenAddress address on which the sender listens; serves as its identity
 * @param incarnation distinguishes successive processes at the same address
 */
record Hello(int protocolVersion, PeerAddress listenAddress, long incarnation) {}
