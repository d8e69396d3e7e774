package io.umberpath.node.mesh;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;

/**
 * A report as it travels. Nodes pass reports of others on as the bytes that they got, and read only
 * those they do not know: of four reports that arrive three are known already. Immutable.
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
      throw new IllegalStateException("a report cannot be written", impossible);
    }
    return new EncodedReport(bytes.toByteArray());
  }

  /** Takes the next value of a message. */
  static EncodedReport read(JsonParser in) throws IOException {
    return new EncodedReport(in.getBinaryValue());
  }

  void write(JsonGenerator out) throws IOException {
    out.writeBinary(bytes);
  }

  /**
   * Reads the report.
   *
   * @throws IOException if it is none
   */
  PeerReport decode() throws IOException {
    try (JsonParser in = CBOR.createParser(bytes)) {
      if (in.nextToken() != JsonToken.START_ARRAY) {
        throw new IOException("report is no list");
      }
      PeerReport report = PeerReport.read(in);
      if (in.nextToken() != null) {
        throw new IOException("report does not end where it is due");
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
