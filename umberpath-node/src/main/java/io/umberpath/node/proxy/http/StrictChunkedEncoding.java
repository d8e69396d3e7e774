package io.umberpath.node.proxy.http;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.attributes.AttributeBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.http.ChunkedTransferEncoding;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpHeader;
import org.glassfish.grizzly.http.HttpTrailer;
import org.glassfish.grizzly.http.ParsingResult;
import org.glassfish.grizzly.http.TransferEncoding;

/**
 * Chunked transfer coding that accepts exactly the grammar of RFC 9112, section 7.1, without chunk
 * extensions; encoding is delegated to Grizzly. Thread-safe: the decoding state is stored as an
 * attribute of the message's header.
 */
final class StrictChunkedEncoding implements TransferEncoding {
  private static final Attribute<ChunkedDecoder> DECODER =
      AttributeBuilder.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("umberpath.chunkedDecoder");

  private final ChunkedTransferEncoding encoder;
  private final int maxTrailerBytes;

  StrictChunkedEncoding(int maxTrailerBytes) {
    this.encoder = new ChunkedTransferEncoding(maxTrailerBytes);
    this.maxTrailerBytes = maxTrailerBytes;
  }

  @Override
  public boolean wantDecode(HttpHeader header) {
    return header.isChunked();
  }

  @Override
  public boolean wantEncode(HttpHeader header) {
    return encoder.wantEncode(header);
  }

  @Override
  public void prepareSerialize(FilterChainContext context, HttpHeader header, HttpContent content) {
    encoder.prepareSerialize(context, header, content);
  }

  @Override
  public Buffer serializePacket(FilterChainContext context, HttpContent content) {
    return encoder.serializePacket(context, content);
  }

  @Override
  public ParsingResult parsePacket(FilterChainContext context, HttpHeader header, Buffer buffer) {
    ChunkedDecoder decoder = DECODER.get(header);
    if (decoder == null) {
      decoder = new ChunkedDecoder(maxTrailerBytes);
      DECODER.set(header, decoder);
    }
    return switch (decoder.decode(buffer)) {
      case NEEDS_MORE -> ParsingResult.create(null, buffer.hasRemaining() ? buffer : null);
      case DATA -> dataResult(header, buffer, decoder.dataLength());
      case END -> ParsingResult.create(buildTrailer(header, decoder), splitRemainder(buffer));
    };
  }

  private static ParsingResult dataResult(HttpHeader header, Buffer buffer, int length) {
    Buffer remainder =
        buffer.remaining() > length ? buffer.split(buffer.position() + length) : null;
    HttpContent content = header.httpContentBuilder().content(buffer).last(false).build();
    return ParsingResult.create(content, remainder);
  }

  private static HttpTrailer buildTrailer(HttpHeader header, ChunkedDecoder decoder) {
    HttpTrailer.Builder builder = header.httpTrailerBuilder();
    decoder.trailers().forEach((name, value) -> builder.header(name, value));
    return builder.build();
  }

  private static Buffer splitRemainder(Buffer buffer) {
    return buffer.hasRemaining() ? buffer.split(buffer.position()) : null;
  }
}
