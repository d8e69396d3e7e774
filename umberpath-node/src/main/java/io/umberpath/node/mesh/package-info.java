/**
 * A node whose configuration and back ends come from an external ordered store: follows the store,
 * shares what it knows with other nodes, and carries requests by it.
 */
package io.umberpath.node.mesh;
