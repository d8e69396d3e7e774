package io.umberpath.node.mesh;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;

/**
 * A report in its encoded form. Nodes forward reports of other nodes without decoding them and
 * decode only new ones: three of four received reports are duplicates. Immutable.
 */
final class EncodedReport {
  private static final CBORFactory CBOR = new CBORFactory();
  private static final int INITIAL_BYTES = 64;

  private final byte[] bytes;

  private EncodedReport(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Encodes a report. */
  static EncodedReport of(PeerReport report) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BYTES);
    try (JsonGenerator out = CBOR.createGenerator(bytes)) {
      report.write(out);
    } catch (IOException impossible) {
      throw new IllegalStateException("failed to encode a report", impossible);
    }
    return new EncodedReport(bytes.toByteArray());
  }

  /** Reads the report that is the next value of a message. */
  static EncodedReport read(JsonParser in) throws IOException {
    return new EncodedReport(in.getBinaryValue());
  }

  void write(JsonGenerator out) throws IOException {
    out.writeBinary(bytes);
  }

  /**
   * Decodes the report.
   *
   * @throws IOException if the bytes are not a valid report
   */
  PeerReport decode() throws IOException {
    try (JsonParser in = CBOR.createParser(bytes)) {
      if (in.nextToken() != JsonToken.START_ARRAY) {
        throw new IOException("report is not a list");
      }
      PeerReport report = PeerReport.read(in);
      if (in.nextToken() != null) {
        throw new IOException("report has trailing data");
      }
      return report;
    }
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof EncodedReport report && Arrays.equals(bytes, report.bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }
}
