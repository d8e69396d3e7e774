package io.umberpath.node.proxy.origin;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.util.MimeHeaders;

/**
 * A piece of an answer, in order.
 *
 * @param head the answer's head
 * @param first whether this is the first piece
 * @param content body bytes, possibly none
 * @param last whether the answer is complete with this piece
 * @param trailers trailers of a complete chunked answer, or null
 */
public record AnswerPart(
    HttpResponsePacket head, boolean first, Buffer content, boolean last, MimeHeaders trailers) {}
