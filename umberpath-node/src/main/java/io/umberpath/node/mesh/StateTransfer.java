package io.umberpath.node.mesh;

import io.umberpath.control.store.StoreChanges;
import io.umberpath.control.store.StoreFacts;

/**
 * What one node gives another of its state.
 *
 * @param changes of the store's items
 * @param facts what holds whatever the store shows
 */
record StateTransfer(StoreChanges changes, StoreFacts facts) {}
