package io.umberpath.node.proxy.origin;

import io.umberpath.node.proxy.http.AnswerHead;
import io.umberpath.node.proxy.http.HeaderFields;
import org.glassfish.grizzly.Buffer;

/**
 * A piece of an answer, in order.
 *
 * @param head the answer's head
 * @param first whether this is the first piece
 * @param content body bytes, possibly none
 * @param last whether the answer is complete with this piece
 * @param trailers trailers of a complete chunked answer
 */
public record AnswerPart(
    AnswerHead head, boolean first, Buffer content, boolean last, HeaderFields trailers) {}
