package io.umberpath.node.mesh;

import io.umberpath.control.store.StoreEvent;
import io.umberpath.control.store.StoreItem;
import io.umberpath.control.store.StorePosition;
import io.umberpath.control.store.StoreRequest;
import io.umberpath.control.store.StoreResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;

/** An ordered store in virtual time that can be restored from an older copy. */
final class StoreModel {
  private final List<StoreEvent> events = new ArrayList<>();
  private long era = 1;

  /** Revision before which no changes are kept. */
  private long oldestHistoryRevision;

  void put(String key, String value) {
    events.add(new StoreEvent.Put(new StoreItem(key, value, revision() + 1)));
  }

  void remove(String key) {
    events.add(new StoreEvent.Delete(key, revision() + 1));
  }

  /** Restores the store without the latest changes, whose revisions are then reused. */
  void restore(int lostChanges) {
    int left = Math.max(1, events.size() - lostChanges);
    events.subList(left, events.size()).clear();
    oldestHistoryRevision = Math.min(oldestHistoryRevision, revision());
    era++;
  }

  void forgetHistory() {
    oldestHistoryRevision = revision();
  }

  long revision() {
    return events.size();
  }

  StorePosition position() {
    return new StorePosition(era, revision());
  }

  /** The items by key. */
  TreeMap<String, StoreItem> items() {
    TreeMap<String, StoreItem> items = new TreeMap<>();
    for (StoreEvent event : events) {
      if (event instanceof StoreEvent.Put put) {
        items.put(put.key(), put.item());
      } else {
        items.remove(event.key());
      }
    }
    return items;
  }

  /** Responds immediately; a watch without new events returns an empty list. */
  StoreResponse respond(StoreRequest call) {
    if (call instanceof StoreRequest.Watch watch) {
      return changes(watch.afterRevision());
    }
    String after = ((StoreRequest.Read) call).after().orElse("");
    List<StoreItem> left = List.copyOf(items().tailMap(after, false).values());
    // Pages of two items, so that a restore can happen in the middle of a read.
    int size = Math.min(2, left.size());
    return new StoreResponse.Page(left.subList(0, size), size < left.size(), position());
  }

  private StoreResponse changes(long after) {
    if (after > revision() || after < oldestHistoryRevision) {
      return new StoreResponse.HistoryGone(era);
    }
    List<StoreEvent> later = events.subList((int) after, events.size());
    return new StoreResponse.Events(List.copyOf(later), position());
  }
}
