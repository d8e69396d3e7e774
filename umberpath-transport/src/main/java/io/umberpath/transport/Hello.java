package io.umberpath.transport;

import io.umberpath.model.PeerAddress;

/**
 * The first frame in each direction.
 *
 * @param protocolVersion protocol version of the sender
 * @param listenAddress where the sender listens; its identity
 * @param incarnation tells successive processes at one address apart
 */
record Hello(int protocolVersion, PeerAddress listenAddress, long incarnation) {}
