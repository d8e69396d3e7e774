/**
 * HTTP/1.1 messages on top of Grizzly's codec filters: strict validation of input that the codec
 * would tolerate, the header rules for a proxy, and Umberpath's own headers.
 */
package io.umberpath.node.proxy.http;
