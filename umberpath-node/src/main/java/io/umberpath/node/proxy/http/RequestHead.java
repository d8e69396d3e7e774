package io.umberpath.node.proxy.http;

import java.util.Optional;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.attributes.AttributeBuilder;
import org.glassfish.grizzly.http.HttpRequestPacket;

/**
 * The request line and header fields of a request.
 *
 * @param path path of the request target, not decoded
 * @param query query of the request target without the question mark, not decoded; empty if there
 *     is none
 */
public record RequestHead(
    String method,
    String path,
    Optional<String> query,
    HeaderFields fields,
    long contentLength,
    boolean isChunked)
    implements MessageHead {

  private static final Attribute<RequestHead> ATTRIBUTE =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.requestHead");

  /**
   * Copies the head of a newly decoded request, so that the packet no longer refers to the codec's
   * buffer.
   */
  static RequestHead detach(HttpRequestPacket packet) {
    RequestHead head =
        new RequestHead(
            packet.getMethod().getMethodString(),
            packet.getRequestURI(),
            Optional.ofNullable(packet.getQueryString()),
            HeaderFields.detach(packet.getHeaders()),
            packet.getContentLength(),
            packet.isChunked());
    packet.setMethod(packet.getMethod());
    packet.setProtocol(packet.getProtocol());
    packet.setRequestURI(head.path());
    head.query().ifPresent(packet::setQueryString);
    ATTRIBUTE.set(packet, head);
    return head;
  }

  /** Returns the head of a decoded request. */
  public static RequestHead of(HttpRequestPacket packet) {
    RequestHead head = ATTRIBUTE.get(packet);
    return head == null ? detach(packet) : head;
  }
}
