/** The event loop of the proxy, and how late it reads its input. */
package io.umberpath.node.proxy.loop;
