package io.umberpath.lab.simulate;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;

/** Hash over all events in their order; equal settings give equal digests. */
final class EventDigest {
  private final Hasher hasher = Hashing.murmur3_128().newHasher();
  private long events;

  void add(long nanos, int node, int kind, long detail) {
    events++;
    hasher.putLong(nanos).putInt(node).putInt(kind).putLong(detail);
  }

  long events() {
    return events;
  }

  /** Ends the digest. */
  String finish() {
    return hasher.hash().toString();
  }
}
