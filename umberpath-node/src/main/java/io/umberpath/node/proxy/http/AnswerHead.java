package io.umberpath.node.proxy.http;

import java.util.Optional;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.attributes.AttributeBuilder;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * The head of an answer.
 *
 * @param reason the reason phrase, if it is not the usual one of its status
 */
public record AnswerHead(
    int status, Optional<String> reason, HeaderFields fields, long contentLength, boolean isChunked)
    implements MessageHead {

  private static final Attribute<AnswerHead> ATTRIBUTE =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.answerHead");

  /** Copies the head of an answer that was just decoded, and lets go of the codec's buffer. */
  static AnswerHead detach(HttpResponsePacket packet) {
    Optional<String> reason =
        packet.isCustomReasonPhraseSet() ? Optional.of(packet.getReasonPhrase()) : Optional.empty();
    AnswerHead head =
        new AnswerHead(
            packet.getStatus(),
            reason,
            HeaderFields.detach(packet.getHeaders()),
            packet.getContentLength(),
            packet.isChunked());
    reason.ifPresent(packet::setReasonPhrase);
    ATTRIBUTE.set(packet, head);
    return head;
  }

  /** The head of a decoded answer. */
  public static AnswerHead of(HttpResponsePacket packet) {
    AnswerHead head = ATTRIBUTE.get(packet);
    return head == null ? detach(packet) : head;
  }
}
