package io.umberpath.model;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Content hash of a fleet state: the sum of one hash per entry, so that a delta updates it in time
 * proportional to the delta. Detects corruption and divergence, not attackers.
 */
public final class StateHasher {
  private static final HashFunction FUNCTION = Hashing.murmur3_128();

  private StateHasher() {}

  /** The hash of the state a delta produced from a base. */
  static long hash(FleetState base, StateDelta delta, FleetState result) {
    long hash = base.contentHash();
    for (ResourceKey key : delta.deletes()) {
      hash -= base.resources().get(key).map(StateHasher::resource).getOrElse(0L);
    }
    for (Resource resource : delta.upserts()) {
      if (!delta.deletes().contains(resource.key())) {
        hash -= base.resources().get(resource.key()).map(StateHasher::resource).getOrElse(0L);
      }
      hash += resource(resource);
    }
    for (ChangeSet.DrainChange drain : delta.drains()) {
      boolean before = base.drained().contains(drain.backendId());
      boolean after = result.drained().contains(drain.backendId());
      hash += text("drain", drain.backendId()) * (Boolean.compare(after, before));
    }
    for (int slot : delta.removedSlots()) {
      hash -= base.roster().withSlot(slot).map(StateHasher::member).orElse(0L);
    }
    for (Member member : delta.addedMembers()) {
      hash += member(member);
    }
    return hash;
  }

  /** Fingerprint of a change set, for telling a repeat from a reuse of a request id. */
  public static long fingerprint(ChangeSet change) {
    Hasher hasher = FUNCTION.newHasher();
    put(hasher, change.tenant());
    put(hasher, change.tier().name());
    put(hasher, change.expectedVersion().map(Version::toString).orElse(""));
    change.upserts().forEach(resource -> hasher.putLong(resource(resource)));
    change.deletes().forEach(key -> put(hasher, key.toString()));
    change.drains().forEach(drain -> put(hasher, drain.toString()));
    return hasher.hash().asLong();
  }

  private static long resource(Resource resource) {
    Hasher hasher = FUNCTION.newHasher();
    put(hasher, resource.key().toString());
    put(hasher, resource.tenant());
    put(hasher, resource.tier().name());
    if (resource instanceof Route route) {
      put(hasher, route.host());
      put(hasher, route.pathPrefix());
      put(hasher, route.pool());
      put(hasher, route.secret().orElse(""));
      route.repeatableMethods().forEach(method -> put(hasher, method));
      hasher.putLong(route.timeoutMillis());
    } else if (resource instanceof Pool pool) {
      put(hasher, pool.service());
      hasher.putInt(pool.slotsPerBackend()).putInt(pool.connectionsPerBackend());
    } else if (resource instanceof Secret secret) {
      hasher.putInt(secret.value().length).putBytes(secret.value());
    }
    return hasher.hash().asLong();
  }

  private static long member(Member member) {
    return text("member", member.toString());
  }

  private static long text(String kind, String value) {
    Hasher hasher = FUNCTION.newHasher();
    put(hasher, kind);
    put(hasher, value);
    return hasher.hash().asLong();
  }

  private static void put(Hasher hasher, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    hasher.putInt(bytes.length).putBytes(bytes);
  }
}
