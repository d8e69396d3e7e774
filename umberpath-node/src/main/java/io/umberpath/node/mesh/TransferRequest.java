package io.umberpath.node.mesh;

import io.umberpath.control.store.StateRequest;

/**
 * What a node asks of another one's state.
 *
 * @param state what it holds of the store's items
 * @param version its configuration's version; -1 before the first
 * @param wantsFacts whether it wants to know what an older copy of the store may not show
 */
record TransferRequest(StateRequest state, long version, boolean wantsFacts) {}
