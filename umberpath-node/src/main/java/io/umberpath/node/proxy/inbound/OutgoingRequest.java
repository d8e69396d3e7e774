package io.umberpath.node.proxy.inbound;

import io.umberpath.model.PeerAddress;
import io.umberpath.node.proxy.http.HeaderCopier;
import io.umberpath.node.proxy.http.HeaderFields;
import io.umberpath.node.proxy.http.RequestHead;
import java.util.Set;
import java.util.TreeSet;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpPacket;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.http.util.Header;
import org.glassfish.grizzly.http.util.MimeHeaders;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/** Builds the messages of one attempt from the client's request. */
final class OutgoingRequest {
  private static final Set<String> REPLACED_BY_SECRET = replacedBySecret();

  private final HttpRequestPacket packet;

  private OutgoingRequest(HttpRequestPacket packet) {
    this.packet = packet;
  }

  /** Copies the client's request line, end-to-end headers and body framing. */
  static OutgoingRequest of(RequestHead request, RequestPlan plan, PeerAddress origin) {
    HttpRequestPacket.Builder builder =
        HttpRequestPacket.builder()
            .method(request.method())
            .uri(request.path())
            .protocol(Protocol.HTTP_1_1);
    request.query().ifPresent(builder::query);
    if (request.isChunked()) {
      builder.chunked(true);
    } else if (request.contentLength() >= 0) {
      builder.contentLength(request.contentLength());
    }
    HttpRequestPacket packet = builder.build();
    Set<String> excluded =
        plan.authorization().isPresent() ? REPLACED_BY_SECRET : plan.replacedHeaders();
    HeaderCopier.copy(request.fields(), packet, excluded);
    if (request.field(Header.Host.toString()).isEmpty()) {
      set(packet, Header.Host.toString(), origin.toString());
    }
    plan.authorization().ifPresent(value -> set(packet, Header.Authorization.toString(), value));
    return new OutgoingRequest(packet);
  }

  HttpRequestPacket packet() {
    return packet;
  }

  static void set(HttpRequestPacket packet, String name, String value) {
    packet.getHeaders().setValue(name).setString(value);
  }

  /** The head alone, with {@code Expect: 100-continue}. */
  HttpPacket withExpectContinue() {
    set(packet, Header.Expect.toString(), "100-continue");
    return packet;
  }

  /** The head with the body received so far. */
  HttpPacket firstPart(byte[] content, boolean last, HeaderFields trailers) {
    if (!packet.isChunked() && packet.getContentLength() <= 0) {
      return packet;
    }
    Buffer buffer =
        content.length == 0
            ? Buffers.EMPTY_BUFFER
            : Buffers.wrap(MemoryManager.DEFAULT_MEMORY_MANAGER, content);
    return nextPart(buffer, last, trailers);
  }

  /** The next part of the body. */
  HttpPacket nextPart(Buffer content, boolean last, HeaderFields trailers) {
    return part(packet, content, last, trailers);
  }

  /**
   * A message's head, if it has not been written yet, with a body part. Without content it is the
   * head alone: the codec would write an empty part as the chunk that ends the body.
   */
  static HttpPacket part(
      org.glassfish.grizzly.http.HttpHeader header,
      Buffer content,
      boolean last,
      HeaderFields trailers) {
    if (!last && !content.hasRemaining()) {
      return header;
    }
    if (last && header.isChunked() && !trailers.isEmpty()) {
      MimeHeaders written = new MimeHeaders();
      trailers.addTo(written);
      return header.httpTrailerBuilder().headers(written).content(content).last(true).build();
    }
    HttpContent.Builder<?> builder = header.httpContentBuilder();
    return builder.content(content).last(last).build();
  }

  private static Set<String> replacedBySecret() {
    Set<String> names = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
    names.add(Header.Authorization.toString());
    return names;
  }
}
