/** Where requests are sent: connections to nodes and back ends, and the attempts made on them. */
package io.umberpath.node.proxy.origin;
