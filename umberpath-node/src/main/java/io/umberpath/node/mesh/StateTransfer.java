package io.umberpath.node.mesh;

import io.umberpath.control.store.StoreChanges;
import io.umberpath.control.store.StoreFacts;

/**
 * A transfer of state from one node to another.
 *
 * @param changes changes of the store's items
 * @param facts facts that remain valid even if the store returns to an older copy
 */
record StateTransfer(StoreChanges changes, StoreFacts facts) {}
