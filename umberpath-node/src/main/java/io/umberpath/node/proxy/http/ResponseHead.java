package io.umberpath.node.proxy.http;

import java.util.Optional;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.attributes.AttributeBuilder;
import org.glassfish.grizzly.http.HttpResponsePacket;

/**
 * The status line and header fields of a response.
 *
 * @param reason the reason phrase, if it differs from the standard phrase of the status
 */
public record ResponseHead(
    int status, Optional<String> reason, HeaderFields fields, long contentLength, boolean isChunked)
    implements MessageHead {

  private static final Attribute<ResponseHead> ATTRIBUTE =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.responseHead");

  /**
   * Copies the head of a newly decoded response, so that the packet no longer refers to the codec's
   * buffer.
   */
  static ResponseHead detach(HttpResponsePacket packet) {
    Optional<String> reason =
        packet.isCustomReasonPhraseSet() ? Optional.of(packet.getReasonPhrase()) : Optional.empty();
    ResponseHead head =
        new ResponseHead(
            packet.getStatus(),
            reason,
            HeaderFields.detach(packet.getHeaders()),
            packet.getContentLength(),
            packet.isChunked());
    reason.ifPresent(packet::setReasonPhrase);
    ATTRIBUTE.set(packet, head);
    return head;
  }

  /** Returns the head of a decoded response. */
  public static ResponseHead of(HttpResponsePacket packet) {
    ResponseHead head = ATTRIBUTE.get(packet);
    return head == null ? detach(packet) : head;
  }
}
