package io.umberpath.model;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Content hash of a fleet state: the sum of one hash per entry, so that a delta updates it in time
 * proportional to the delta. Detects corruption and divergence; not secure against attackers.
 */
public final class StateHasher {
  private static final HashFunction HASH = Hashing.murmur3_128();

  private StateHasher() {}

  /** Computes the hash of the state that a delta produced from a base. */
  static long hash(FleetState base, StateDelta delta, FleetState result) {
    long hash = base.contentHash();
    for (ResourceKey key : delta.deletes()) {
      hash -= base.resources().get(key).map(StateHasher::hashResource).getOrElse(0L);
    }
    for (Resource resource : delta.upserts()) {
      if (!delta.deletes().contains(resource.key())) {
        hash -= base.resources().get(resource.key()).map(StateHasher::hashResource).getOrElse(0L);
      }
      hash += hashResource(resource);
    }
    for (ChangeSet.DrainChange drain : delta.drains()) {
      boolean before = base.drained().contains(drain.backendId());
      boolean after = result.drained().contains(drain.backendId());
      hash += hashText("drain", drain.backendId()) * (Boolean.compare(after, before));
    }
    for (int slot : delta.removedSlots()) {
      hash -= base.roster().withSlot(slot).map(StateHasher::hashMember).orElse(0L);
    }
    for (Member member : delta.addedMembers()) {
      hash += hashMember(member);
    }
    return hash;
  }

  /** Fingerprint of a change set, to distinguish a retry from a reuse of a request id. */
  public static long fingerprint(ChangeSet change) {
    Hasher hasher = HASH.newHasher();
    putText(hasher, change.tenant());
    putText(hasher, change.tier().name());
    putText(hasher, change.expectedVersion().map(Version::toString).orElse(""));
    change.upserts().forEach(resource -> hasher.putLong(hashResource(resource)));
    change.deletes().forEach(key -> putText(hasher, key.toString()));
    change.drains().forEach(drain -> putText(hasher, drain.toString()));
    return hasher.hash().asLong();
  }

  private static long hashResource(Resource resource) {
    Hasher hasher = HASH.newHasher();
    putText(hasher, resource.key().toString());
    putText(hasher, resource.tenant());
    putText(hasher, resource.tier().name());
    if (resource instanceof Route route) {
      putText(hasher, route.host());
      putText(hasher, route.pathPrefix());
      putText(hasher, route.pool());
      putText(hasher, route.secret().orElse(""));
      route.repeatableMethods().forEach(method -> putText(hasher, method));
      hasher.putLong(route.timeoutMillis());
    } else if (resource instanceof Pool pool) {
      putText(hasher, pool.service());
      hasher.putInt(pool.slotsPerBackend()).putInt(pool.connectionsPerBackend());
    } else if (resource instanceof Secret secret) {
      hasher.putInt(secret.value().length).putBytes(secret.value());
    }
    return hasher.hash().asLong();
  }

  private static long hashMember(Member member) {
    return hashText("member", member.toString());
  }

  private static long hashText(String kind, String value) {
    Hasher hasher = HASH.newHasher();
    putText(hasher, kind);
    putText(hasher, value);
    return hasher.hash().asLong();
  }

  private static void putText(Hasher hasher, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    hasher.putInt(bytes.length).putBytes(bytes);
  }
}
