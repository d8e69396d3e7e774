/**
 * HTTP/1.1 messages on Grizzly's codec filters: strict checks of what the codec would tolerate,
 * header rules of a proxy, and the project's own headers.
 */
package io.umberpath.node.proxy.http;
