/** Statistics of the request path. */
package io.umberpath.node.proxy.stats;
