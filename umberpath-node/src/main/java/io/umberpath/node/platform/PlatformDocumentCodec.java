package io.umberpath.node.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.umberpath.control.store.StorePosition;
import io.umberpath.model.PeerAddress;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.PlatformDocument.BackendAddress;
import io.umberpath.model.PlatformDocument.Machine;
import io.umberpath.model.PlatformDocument.MachineState;
import io.umberpath.model.Violation;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The JSON form of {@link PlatformDocument}; the contract is {@code
 * docs/operations/platform-protocol.md}. Parsing is strict: an unknown, missing, repeated or
 * wrongly typed field invalidates the whole document. Thread-safe.
 */
public final class PlatformDocumentCodec {
  private static final JsonMapper MAPPER =
      JsonMapper.builder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private static final String ERA = "era";
  private static final Set<String> DOCUMENT_FIELDS = Set.of("revision", "services", "machines");
  private static final Set<String> BACKEND_FIELDS =
      Set.of("id", "host", "port", "zone", "nodeHost", "nodeHopPort");
  private static final Set<String> MACHINE_FIELDS = Set.of("control", "zone", "region", "state");

  private PlatformDocumentCodec() {}

  /** Parses and validates a document; the left side lists all violations. */
  public static Either<List<Violation>, PlatformDocument> parse(byte[] json) {
    JsonNode root;
    try {
      root = MAPPER.readTree(json);
    } catch (JsonProcessingException failure) {
      return Either.left(List.of(new Violation("document", "", failure.getOriginalMessage())));
    } catch (IOException failure) {
      return Either.left(List.of(new Violation("document", "", failure.getMessage())));
    }
    FieldReader reader = new FieldReader();
    PlatformDocument document = PlatformDocument.NONE;
    if (reader.hasFields(root, "", DOCUMENT_FIELDS, ERA)) {
      long revision = readPosition(reader, root).packed();
      SortedMap<String, List<BackendAddress>> services = readServices(reader, root.get("services"));
      List<Machine> machines = readMachines(reader, root.get("machines"));
      document = new PlatformDocument(revision, services, machines);
    }
    return reader.violations().isEmpty()
        ? Either.right(document)
        : Either.left(List.copyOf(reader.violations()));
  }

  /** Writes a document as JSON that {@link #parse} accepts. */
  public static byte[] write(PlatformDocument document) {
    ObjectNode root = MAPPER.createObjectNode();
    StorePosition position = StorePosition.unpacked(document.revision());
    root.put("revision", position.revision());
    if (position.era() != StorePosition.NO_ERA) {
      root.put(ERA, position.era());
    }
    ObjectNode services = root.putObject("services");
    document.services().forEach((name, list) -> writeBackends(services.putArray(name), list));
    ArrayNode machines = root.putArray("machines");
    document.machines().forEach(machine -> writeMachine(machines.addObject(), machine));
    try {
      return MAPPER.writeValueAsBytes(root);
    } catch (JsonProcessingException failure) {
      throw new IllegalStateException("failed to write a JSON tree", failure);
    }
  }

  private static StorePosition readPosition(FieldReader reader, JsonNode root) {
    long era =
        root.has(ERA)
            ? reader.positive(root, "", ERA, StorePosition.MAX_PACKED_ERA)
            : StorePosition.NO_ERA;
    return new StorePosition(
        era, reader.positive(root, "", "revision", StorePosition.MAX_PACKED_REVISION));
  }

  private static SortedMap<String, List<BackendAddress>> readServices(
      FieldReader reader, JsonNode map) {
    SortedMap<String, List<BackendAddress>> services = new TreeMap<>();
    if (!map.isObject()) {
      reader.addViolation("services", map, "must be an object");
      return services;
    }
    Set<String> ids = new HashSet<>();
    for (Map.Entry<String, JsonNode> service : map.properties()) {
      String path = "services." + service.getKey();
      List<BackendAddress> backends = new ArrayList<>();
      if (reader.isArray(service.getValue(), path)) {
        for (JsonNode item : service.getValue()) {
          readBackend(reader, item, path + "[" + backends.size() + "]", ids, backends);
        }
      }
      services.put(service.getKey(), backends);
    }
    return services;
  }

  private static void readBackend(
      FieldReader reader,
      JsonNode item,
      String path,
      Set<String> ids,
      List<BackendAddress> backends) {
    if (!reader.hasFields(item, path, BACKEND_FIELDS)) {
      return;
    }
    String id = reader.text(item, path, "id");
    if (!ids.add(id)) {
      reader.addViolation(path + ".id", item.get("id"), "must be unique in the document");
    }
    backends.add(
        new BackendAddress(
            id,
            reader.ipAddress(item, path, "host"),
            reader.port(item, path, "port"),
            reader.text(item, path, "zone"),
            reader.ipAddress(item, path, "nodeHost"),
            reader.port(item, path, "nodeHopPort")));
  }

  private static List<Machine> readMachines(FieldReader reader, JsonNode list) {
    List<Machine> machines = new ArrayList<>();
    if (!reader.isArray(list, "machines")) {
      return machines;
    }
    int index = 0;
    for (JsonNode item : list) {
      String path = "machines[" + index++ + "]";
      if (reader.hasFields(item, path, MACHINE_FIELDS)) {
        machines.add(
            new Machine(
                readControlAddress(reader, item, path),
                reader.text(item, path, "zone"),
                reader.text(item, path, "region"),
                readState(reader, item, path)));
      }
    }
    return machines;
  }

  private static PeerAddress readControlAddress(FieldReader reader, JsonNode item, String path) {
    String text = reader.text(item, path, "control");
    try {
      return PeerAddress.parse(text);
    } catch (IllegalArgumentException failure) {
      reader.addViolation(path + ".control", item.get("control"), "must be host:port");
      return new PeerAddress("", 1);
    }
  }

  private static MachineState readState(FieldReader reader, JsonNode item, String path) {
    String text = reader.text(item, path, "state");
    for (MachineState state : MachineState.values()) {
      if (name(state).equals(text)) {
        return state;
      }
    }
    reader.addViolation(path + ".state", item.get("state"), "must be live or leaving");
    return MachineState.LIVE;
  }

  private static String name(MachineState state) {
    return state.name().toLowerCase(Locale.ROOT);
  }

  private static void writeBackends(ArrayNode array, List<BackendAddress> backends) {
    for (BackendAddress backend : backends) {
      ObjectNode item = array.addObject();
      item.put("id", backend.id());
      item.put("host", backend.host());
      item.put("port", backend.port());
      item.put("zone", backend.zone());
      item.put("nodeHost", backend.nodeHost());
      item.put("nodeHopPort", backend.nodeHopPort());
    }
  }

  private static void writeMachine(ObjectNode item, Machine machine) {
    item.put("control", machine.control().toString());
    item.put("zone", machine.zone());
    item.put("region", machine.region());
    item.put("state", name(machine.state()));
  }
}
