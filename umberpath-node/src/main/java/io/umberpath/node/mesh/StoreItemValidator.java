package io.umberpath.node.mesh;

import io.umberpath.control.store.StoreEvent;
import io.umberpath.control.store.StoreItem;
import io.umberpath.control.store.StoreResponse;
import io.umberpath.model.routing.BackendEntry;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;

/**
 * Parses backend entries and removes those that are of no use from the store's responses, so that
 * what another client writes is neither held nor passed on to other nodes. Not thread-safe, except
 * for {@link #refusedCount}.
 */
final class StoreItemValidator {
  /** Keys whose last refusal is remembered, so that it is logged once. */
  private static final int MAX_REMEMBERED_REFUSALS = 256;

  private final StoreItemParser parser;
  private final MeshEvents events;
  private final Map<StoreItem, BackendEntry> entries = new HashMap<>();
  private final AtomicLong refusedCount = new AtomicLong();

  /** The reason of the last refusal by key. */
  private final Map<String, String> refusals =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
          return size() > MAX_REMEMBERED_REFUSALS;
        }
      };

  StoreItemValidator(StoreItemParser parser, MeshEvents events) {
    this.parser = parser;
    this.events = events;
  }

  /** Number of items refused since the start. */
  long refusedCount() {
    return refusedCount.get();
  }

  /** The backend of an item; the left side tells why the item is of no use. */
  Either<String, BackendEntry> backendEntry(StoreItem item) {
    BackendEntry known = entries.get(item);
    if (known != null) {
      return Either.right(known);
    }
    return parse(item)
        .peek(entry -> entries.put(item, entry))
        .peekLeft(reason -> refuse(item.key(), item.revision(), reason));
  }

  /** An entry that breaks the parser must not affect others. */
  private Either<String, BackendEntry> parse(StoreItem item) {
    try {
      return parser.parseBackend(item);
    } catch (RuntimeException | StackOverflowError unexpected) {
      return Either.left(item.key() + ": " + unexpected);
    }
  }

  private void refuse(String key, long revision, String reason) {
    refusedCount.incrementAndGet();
    if (!reason.equals(refusals.put(key, reason))) {
      events.backendRefused(key, revision, reason);
    }
  }

  /** Forgets the parsed entries of all other items. */
  void retain(Collection<StoreItem> items) {
    entries.keySet().retainAll(items);
  }

  /** The response without the items that are of no use. */
  StoreResponse validate(StoreResponse response) {
    if (response instanceof StoreResponse.Page page) {
      page.unusable().forEach(this::logUnusable);
      List<StoreItem> usable = page.items().stream().filter(this::isUsable).toList();
      return new StoreResponse.Page(usable, List.of(), page.nextAfter(), page.position());
    }
    if (response instanceof StoreResponse.Events changes) {
      List<StoreEvent> valid = changes.events().stream().flatMap(this::validate).toList();
      return new StoreResponse.Events(valid, changes.position());
    }
    return response;
  }

  private boolean isUsable(StoreItem item) {
    return !parser.isBackendKey(item.key()) || backendEntry(item).isRight();
  }

  private Stream<StoreEvent> validate(StoreEvent change) {
    if (change instanceof StoreEvent.Unusable unusable) {
      logUnusable(unusable);
      // A configuration stays until a usable one replaces it.
      return parser.isConfigurationKey(unusable.key()) ? Stream.empty() : Stream.of(unusable);
    }
    if (change instanceof StoreEvent.Put put && parser.isBackendKey(put.key())) {
      return Stream.of(validateEntry(put));
    }
    return Stream.of(change);
  }

  private StoreEvent validateEntry(StoreEvent.Put put) {
    return backendEntry(put.item())
        .fold(reason -> new StoreEvent.Unusable(put.key(), put.revision(), reason), entry -> put);
  }

  private void logUnusable(StoreEvent.Unusable unusable) {
    if (parser.isConfigurationKey(unusable.key())) {
      events.configurationRefused(unusable.revision(), unusable.reason(), "store");
    } else {
      refuse(unusable.key(), unusable.revision(), unusable.reason());
    }
  }
}
