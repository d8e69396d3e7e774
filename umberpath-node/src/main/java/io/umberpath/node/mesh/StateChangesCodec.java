package io.umberpath.node.mesh;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import io.umberpath.control.store.DepartedStarts;
import io.umberpath.control.store.DepartedStarts.Departed;
import io.umberpath.control.store.DepartedStarts.Departure;
import io.umberpath.control.store.ItemPatch;
import io.umberpath.control.store.StateRequest;
import io.umberpath.control.store.StoreChanges;
import io.umberpath.control.store.StoreEvent;
import io.umberpath.control.store.StoreFacts;
import io.umberpath.control.store.StoreItem;
import io.umberpath.control.store.StorePosition;
import io.umberpath.control.store.TextPatch;
import io.umberpath.model.routing.BackendStart;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Encodes state transfers between nodes: CBOR, compressed, since a configuration is repetitive (600
 * routes of 200 bytes each shrink to about a tenth).
 */
final class StateChangesCodec {
  /** Length of an encoded request. */
  static final int REQUEST_BYTES = 4 * Long.BYTES + 1;

  private static final CBORFactory CBOR = new CBORFactory();
  private static final Departure[] DEPARTURES = Departure.values();
  private static final int MAX_ITEMS = 100_000;

  /** Longest text that a patch may produce, characters; an item has a megabyte at most. */
  private static final int MAX_TEXT_LENGTH = 4 * 1024 * 1024;

  private StateChangesCodec() {}

  static byte[] encode(StateTransfer transfer) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      // Closed only on success: closing also writes, and a second error would hide the first.
      JsonGenerator out = CBOR.createGenerator(new DeflaterOutputStream(bytes, deflater));
      write(out, transfer);
      out.close();
    } catch (IOException impossible) {
      throw new IllegalStateException("failed to encode changes", impossible);
    } finally {
      deflater.end();
    }
    return bytes.toByteArray();
  }

  private static void write(JsonGenerator out, StateTransfer transfer) throws IOException {
    StoreChanges changes = transfer.changes();
    out.writeStartArray();
    write(out, changes.after());
    write(out, changes.position());
    write(out, transfer.facts());
    for (StoreEvent.Delete deleted : changes.removed()) {
      write(out, deleted.key(), null, deleted.revision());
    }
    for (StoreItem item : changes.items()) {
      write(out, item.key(), item.value(), item.revision());
    }
    for (ItemPatch patch : changes.patches()) {
      write(out, patch);
    }
    out.writeEndArray();
  }

  /** Writes a request: four 8-byte numbers and a byte, {@link #REQUEST_BYTES} in all. */
  static void write(TransferRequest request, OutputStream stream) throws IOException {
    DataOutputStream out = new DataOutputStream(stream);
    out.writeLong(request.state().after().era());
    out.writeLong(request.state().after().revision());
    out.writeLong(request.state().largestRevision());
    out.writeLong(request.version());
    out.writeBoolean(request.wantsFacts());
  }

  /**
   * Reads a request.
   *
   * @throws IOException if it is incomplete
   */
  static TransferRequest readRequest(InputStream stream) throws IOException {
    DataInputStream in = new DataInputStream(stream);
    StorePosition after = new StorePosition(in.readLong(), in.readLong());
    StateRequest state = new StateRequest(after, in.readLong());
    return new TransferRequest(state, in.readLong(), in.readBoolean());
  }

  private static void write(JsonGenerator out, StorePosition position) throws IOException {
    out.writeNumber(position.era());
    out.writeNumber(position.revision());
  }

  private static void write(JsonGenerator out, StoreFacts facts) throws IOException {
    out.writeStartArray();
    if (facts.configuration().isPresent()) {
      StoreItem item = facts.configuration().get();
      write(out, item.key(), item.value(), item.revision());
    }
    out.writeEndArray();
    out.writeStartArray();
    for (Departed departed : facts.departed()) {
      out.writeString(departed.start().id());
      out.writeNumber(departed.start().startTimeMillis());
      out.writeNumber(departed.departure().ordinal());
      write(out, departed.position());
    }
    out.writeEndArray();
  }

  private static StoreFacts readFacts(JsonParser in) throws IOException {
    Optional<StoreItem> configuration = Optional.empty();
    require(in.nextToken() == JsonToken.START_ARRAY);
    if (in.nextToken() != JsonToken.END_ARRAY) {
      String key = in.getText();
      require(in.nextToken() == JsonToken.VALUE_STRING);
      String value = in.getText();
      configuration = Optional.of(new StoreItem(key, value, readNumber(in)));
      require(in.nextToken() == JsonToken.END_ARRAY);
    }
    List<Departed> departed = new ArrayList<>();
    require(in.nextToken() == JsonToken.START_ARRAY);
    while (in.nextToken() != JsonToken.END_ARRAY) {
      require(in.currentToken() == JsonToken.VALUE_STRING);
      require(departed.size() < DepartedStarts.MAX_STARTS);
      departed.add(readDeparted(in, in.getText()));
    }
    return new StoreFacts(configuration, departed);
  }

  private static Departed readDeparted(JsonParser in, String id) throws IOException {
    BackendStart start = new BackendStart(id, readNumber(in));
    long departure = readNumber(in);
    require(departure >= 0 && departure < DEPARTURES.length);
    return new Departed(start, DEPARTURES[(int) departure], readPosition(in));
  }

  private static StorePosition readPosition(JsonParser in) throws IOException {
    long era = readNumber(in);
    return new StorePosition(era, readNumber(in));
  }

  private static void write(JsonGenerator out, String key, String value, long revision)
      throws IOException {
    out.writeString(key);
    out.writeString(value);
    out.writeNumber(revision);
  }

  private static void write(JsonGenerator out, ItemPatch patch) throws IOException {
    out.writeString(patch.key());
    out.writeStartArray();
    out.writeNumber(patch.fromRevision());
    out.writeNumber(patch.patch().length());
    out.writeNumber(patch.patch().checksum());
    for (TextPatch.Piece piece : patch.patch().pieces()) {
      if (piece instanceof TextPatch.Piece.Copy copy) {
        out.writeNumber(copy.from());
        out.writeNumber(copy.length());
      } else if (piece instanceof TextPatch.Piece.Insert insert) {
        out.writeString(insert.text());
      }
    }
    out.writeEndArray();
    out.writeNumber(patch.revision());
  }

  /** Reads a patch whose list has begun. */
  private static ItemPatch readPatch(JsonParser in, String key) throws IOException {
    final long fromRevision = readNumber(in);
    final int length = checkedLength(readNumber(in));
    final long checksum = readNumber(in);
    List<TextPatch.Piece> pieces = new ArrayList<>();
    for (JsonToken token = in.nextToken(); token != JsonToken.END_ARRAY; token = in.nextToken()) {
      if (token == JsonToken.VALUE_STRING) {
        pieces.add(new TextPatch.Piece.Insert(in.getText()));
      } else {
        require(token == JsonToken.VALUE_NUMBER_INT);
        int offset = checkedLength(in.getLongValue());
        pieces.add(new TextPatch.Piece.Copy(offset, checkedLength(readNumber(in))));
      }
    }
    return new ItemPatch(
        key, fromRevision, readNumber(in), new TextPatch(pieces, length, checksum));
  }

  private static int checkedLength(long number) throws IOException {
    require(number >= 0 && number <= MAX_TEXT_LENGTH);
    return (int) number;
  }

  /**
   * Reads a state transfer.
   *
   * @throws IOException if it is truncated or malformed
   */
  static StateTransfer read(InputStream stream) throws IOException {
    JsonParser in = CBOR.createParser(new InflaterInputStream(stream));
    require(in.nextToken() == JsonToken.START_ARRAY);
    final StorePosition after = readPosition(in);
    final StorePosition position = readPosition(in);
    final StoreFacts facts = readFacts(in);
    List<StoreItem> items = new ArrayList<>();
    List<StoreEvent.Delete> deleted = new ArrayList<>();
    List<ItemPatch> patches = new ArrayList<>();
    for (JsonToken token = in.nextToken(); token != JsonToken.END_ARRAY; token = in.nextToken()) {
      require(token == JsonToken.VALUE_STRING && items.size() + deleted.size() < MAX_ITEMS);
      String key = in.getText();
      JsonToken value = in.nextToken();
      if (value == JsonToken.VALUE_NULL) {
        deleted.add(new StoreEvent.Delete(key, readNumber(in)));
      } else if (value == JsonToken.START_ARRAY) {
        patches.add(readPatch(in, key));
      } else {
        require(value == JsonToken.VALUE_STRING);
        String text = in.getText();
        items.add(new StoreItem(key, text, readNumber(in)));
      }
    }
    // Reads to the end of the stream, so that the checksum of the compression is verified.
    require(in.nextToken() == null);
    return new StateTransfer(new StoreChanges(after, position, items, deleted, patches), facts);
  }

  private static long readNumber(JsonParser in) throws IOException {
    require(in.nextToken() == JsonToken.VALUE_NUMBER_INT);
    return in.getLongValue();
  }

  private static void require(boolean isWellFormed) throws IOException {
    if (!isWellFormed) {
      throw new IOException("state transfer of a peer is malformed");
    }
  }
}
