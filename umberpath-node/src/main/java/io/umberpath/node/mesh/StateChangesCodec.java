package io.umberpath.node.mesh;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import io.umberpath.control.store.StoreChanges;
import io.umberpath.control.store.StoreEvent;
import io.umberpath.control.store.StoreItem;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Changes of the store's items as they go from one node to another: CBOR, compressed, since a
 * configuration repeats itself (600 routes of 200 bytes each shrink to about a tenth).
 */
final class StateChangesCodec {
  private static final CBORFactory CBOR = new CBORFactory();
  private static final int MAX_ITEMS = 100_000;

  private StateChangesCodec() {}

  static byte[] encode(StoreChanges changes) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try (JsonGenerator out = CBOR.createGenerator(new DeflaterOutputStream(bytes, deflater))) {
      out.writeStartArray();
      out.writeNumber(changes.after());
      out.writeNumber(changes.at());
      for (StoreEvent.Gone gone : changes.gone()) {
        write(out, gone.key(), null, gone.revision());
      }
      for (StoreItem item : changes.items()) {
        write(out, item.key(), item.value(), item.revision());
      }
      out.writeEndArray();
    } catch (IOException impossible) {
      throw new IllegalStateException("changes cannot be written", impossible);
    } finally {
      deflater.end();
    }
    return bytes.toByteArray();
  }

  private static void write(JsonGenerator out, String key, String value, long revision)
      throws IOException {
    out.writeString(key);
    out.writeString(value);
    out.writeNumber(revision);
  }

  /**
   * Reads changes.
   *
   * @throws IOException if they are not whole
   */
  static StoreChanges read(InputStream stream) throws IOException {
    JsonParser in = CBOR.createParser(new InflaterInputStream(stream));
    require(in.nextToken() == JsonToken.START_ARRAY);
    final long after = number(in);
    final long at = number(in);
    List<StoreItem> items = new ArrayList<>();
    List<StoreEvent.Gone> gone = new ArrayList<>();
    for (JsonToken token = in.nextToken(); token != JsonToken.END_ARRAY; token = in.nextToken()) {
      require(token == JsonToken.VALUE_STRING && items.size() + gone.size() < MAX_ITEMS);
      String key = in.getText();
      JsonToken value = in.nextToken();
      if (value == JsonToken.VALUE_NULL) {
        gone.add(new StoreEvent.Gone(key, number(in)));
      } else {
        require(value == JsonToken.VALUE_STRING);
        String text = in.getText();
        items.add(new StoreItem(key, text, number(in)));
      }
    }
    // Reads on to the checksum of the compression.
    require(in.nextToken() == null);
    return new StoreChanges(after, at, items, gone);
  }

  private static long number(JsonParser in) throws IOException {
    require(in.nextToken() == JsonToken.VALUE_NUMBER_INT);
    return in.getLongValue();
  }

  private static void require(boolean wellFormed) throws IOException {
    if (!wellFormed) {
      throw new IOException("changes of another node are malformed");
    }
  }
}
