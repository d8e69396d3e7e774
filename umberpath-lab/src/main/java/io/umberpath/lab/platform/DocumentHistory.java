package io.umberpath.lab.platform;

import io.umberpath.model.PlatformDocument;
import io.umberpath.model.PlatformDocument.Machine;
import java.util.ArrayList;
import java.util.List;

/** The documents published so far and what is served of them. Not thread-safe. */
final class DocumentHistory {
  private final List<Entry> entries = new ArrayList<>();
  private PlatformFault fault = PlatformFault.NONE;
  private PlatformDocument frozen;
  private long machineLagMillis;

  private record Entry(long publishedMillis, PlatformDocument document) {}

  DocumentHistory(long nowMillis, PlatformDocument first) {
    publish(nowMillis, first);
  }

  void publish(long nowMillis, PlatformDocument document) {
    entries.add(new Entry(nowMillis, document));
  }

  void setMachineLag(long millis) {
    machineLagMillis = millis;
  }

  void setFault(long nowMillis, PlatformFault newFault) {
    frozen = served(nowMillis);
    fault = newFault;
  }

  PlatformFault fault() {
    return fault;
  }

  /** The newest document published, whatever is served. */
  PlatformDocument newest() {
    return entries.get(entries.size() - 1).document();
  }

  /** The document that a reader gets now. */
  PlatformDocument served(long nowMillis) {
    if (fault == PlatformFault.STALE) {
      return frozen;
    }
    if (fault == PlatformFault.GOING_BACK && entries.size() > 1) {
      return entries.get(entries.size() - 2).document();
    }
    PlatformDocument newest = newest();
    return new PlatformDocument(newest.revision(), newest.services(), machinesAt(nowMillis));
  }

  private List<Machine> machinesAt(long nowMillis) {
    long asOfMillis = nowMillis - machineLagMillis;
    List<Machine> machines = entries.get(0).document().machines();
    for (Entry entry : entries) {
      if (entry.publishedMillis() <= asOfMillis) {
        machines = entry.document().machines();
      }
    }
    return machines;
  }
}
