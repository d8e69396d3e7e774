package io.umberpath.node.proxy.origin;

import io.umberpath.node.proxy.http.HeaderFields;
import io.umberpath.node.proxy.http.ResponseHead;
import org.glassfish.grizzly.Buffer;

/**
 * One part of a response; parts are delivered in order.
 *
 * @param head head of the response
 * @param first whether this is the first part
 * @param content body bytes, possibly empty
 * @param last whether this part completes the response
 * @param trailers trailers, if this part completes a chunked response
 */
public record ResponsePart(
    ResponseHead head, boolean first, Buffer content, boolean last, HeaderFields trailers) {}
