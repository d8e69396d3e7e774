package io.umberpath.node.mesh;

import io.umberpath.control.store.StateRequest;

/**
 * A request for the state of another node.
 *
 * @param state position of the store's items that the requesting node holds
 * @param version version of its configuration; -1 before the first
 * @param wantsFacts whether it requests the facts that an older copy of the store may lack
 */
record TransferRequest(StateRequest state, long version, boolean wantsFacts) {}
