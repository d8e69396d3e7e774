package io.umberpath.node.mesh;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import io.umberpath.control.store.StoreItem;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * The whole of what a node holds, as it goes to another node.
 *
 * @param at the store's revision of the items; -1 if nothing is held
 * @param items the store's items
 */
record StateTransfer(long at, List<StoreItem> items) {
  private static final CBORFactory CBOR = new CBORFactory();
  private static final int MAX_ITEMS = 100_000;

  void write(OutputStream stream) throws IOException {
    JsonGenerator out = CBOR.createGenerator(stream);
    out.writeStartArray();
    out.writeNumber(at);
    for (StoreItem item : items) {
      out.writeString(item.key());
      out.writeString(item.value());
      out.writeNumber(item.revision());
    }
    out.writeEndArray();
    out.flush();
  }

  /**
   * Reads a transfer.
   *
   * @throws IOException if it is not whole
   */
  static StateTransfer read(InputStream stream) throws IOException {
    JsonParser in = CBOR.createParser(stream);
    require(in.nextToken() == JsonToken.START_ARRAY);
    require(in.nextToken() == JsonToken.VALUE_NUMBER_INT);
    final long at = in.getLongValue();
    List<StoreItem> items = new ArrayList<>();
    for (JsonToken token = in.nextToken(); token != JsonToken.END_ARRAY; token = in.nextToken()) {
      require(token == JsonToken.VALUE_STRING && items.size() < MAX_ITEMS);
      String key = in.getText();
      require(in.nextToken() == JsonToken.VALUE_STRING);
      String value = in.getText();
      require(in.nextToken() == JsonToken.VALUE_NUMBER_INT);
      items.add(new StoreItem(key, value, in.getLongValue()));
    }
    return new StateTransfer(at, items);
  }

  private static void require(boolean wellFormed) throws IOException {
    if (!wellFormed) {
      throw new IOException("state transfer is malformed");
    }
  }
}
