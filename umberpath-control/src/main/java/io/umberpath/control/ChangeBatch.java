package io.umberpath.control;

import io.umberpath.model.ChangeResult;
import io.umberpath.model.ChangeResult.RefusalCode;
import io.umberpath.model.ChangeSet;
import io.umberpath.model.FleetState;
import io.umberpath.model.FleetState.AnsweredChange;
import io.umberpath.model.PlatformDocument;
import io.umberpath.model.Pool;
import io.umberpath.model.ReferenceCheck;
import io.umberpath.model.Resource;
import io.umberpath.model.ResourceKey;
import io.umberpath.model.ResourceKind;
import io.umberpath.model.Route;
import io.umberpath.model.StateDelta;
import io.umberpath.model.StateDeltas;
import io.umberpath.model.StateHasher;
import io.umberpath.model.Version;
import io.umberpath.model.Violation;
import io.vavr.collection.TreeMap;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Combines changes into one proposal based on a committed state. Each change is validated against
 * the state that results from the changes before it; a refused change leaves the batch unmodified.
 */
final class ChangeBatch {
  private final FleetState base;
  private final Version target;
  private final PlatformDocument document;
  private final Map<String, AnsweredChange> answered = new LinkedHashMap<>();
  private final Set<ResourceKey> changedKeys = new TreeSet<>();
  private final TreeMap<ResourceKey, Resource> baseResources;
  private TreeMap<ResourceKey, Resource> resources;
  private io.vavr.collection.TreeSet<String> drained;

  /**
   * Starts a batch.
   *
   * @param base the committed state
   * @param target version of the proposal
   * @param document newest platform document that the leader holds
   */
  ChangeBatch(FleetState base, Version target, PlatformDocument document) {
    this.base = base;
    this.target = target;
    this.document = document;
    this.baseResources = base.resources();
    this.resources = base.resources();
    this.drained = base.drained();
  }

  /**
   * Adds a change.
   *
   * @return its result if that is known without a proposal; empty if it depends on the commit
   */
  Optional<ChangeResult> add(ChangeSet change) {
    String key = StateDeltas.answerKey(change.tenant(), change.requestId());
    long fingerprint = StateHasher.fingerprint(change);
    Optional<ChangeResult> known = findPreviousResult(base, change);
    if (known.isPresent()) {
      return known;
    }
    AnsweredChange inBatch = answered.get(key);
    if (inBatch != null) {
      boolean isSame = inBatch.changeHash() == fingerprint;
      return isSame ? Optional.empty() : Optional.of(refusalOfReusedId(change));
    }
    Optional<ChangeResult> refusal = check(change);
    if (refusal.isPresent()) {
      return refusal;
    }
    TreeMap<ResourceKey, Resource> next = resources;
    for (ResourceKey deleted : change.deletes()) {
      next = next.remove(deleted);
    }
    for (Resource upsert : change.upserts()) {
      next = next.put(upsert.key(), upsert);
    }
    List<Violation> violations = ReferenceCheck.violations(with(next));
    if (!violations.isEmpty()) {
      return refusal(RefusalCode.INVALID, violations);
    }
    resources = next;
    changedKeys.addAll(change.deletes());
    change.upserts().forEach(upsert -> changedKeys.add(upsert.key()));
    for (ChangeSet.DrainChange drain : change.drains()) {
      drained =
          drain.draining() ? drained.add(drain.backendId()) : drained.remove(drain.backendId());
    }
    answered.put(key, new AnsweredChange(fingerprint, target));
    return Optional.empty();
  }

  /** The result of a change whose request id is remembered by the state. */
  static Optional<ChangeResult> findPreviousResult(FleetState state, ChangeSet change) {
    String key = StateDeltas.answerKey(change.tenant(), change.requestId());
    return state
        .answered()
        .get(key)
        .map(
            first ->
                first.changeHash() == StateHasher.fingerprint(change)
                    ? (ChangeResult) new ChangeResult.Accepted(first.version())
                    : refusalOfReusedId(change))
        .toJavaOptional();
  }

  private static ChangeResult refusalOfReusedId(ChangeSet change) {
    Violation violation =
        new Violation("request_id", change.requestId(), "was used with a different change");
    return new ChangeResult.Refused(RefusalCode.REQUEST_ID_REUSED, List.of(violation));
  }

  private static Optional<ChangeResult> refusal(RefusalCode code, List<Violation> violations) {
    return Optional.of(new ChangeResult.Refused(code, violations));
  }

  private Optional<ChangeResult> check(ChangeSet change) {
    Optional<Version> expected = change.expectedVersion();
    if (expected.isPresent() && !expected.get().equals(base.version())) {
      return refusal(RefusalCode.CONFLICT, List.of(versionViolation(expected.get())));
    }
    if (expected.isPresent() && !answered.isEmpty()) {
      return refusal(RefusalCode.CONFLICT, List.of(versionViolation(expected.get())));
    }
    List<Violation> foreignTenant = new ArrayList<>();
    List<Violation> invalid = new ArrayList<>();
    for (int index = 0; index < change.deletes().size(); index++) {
      ResourceKey key = change.deletes().get(index);
      String field = "deletes[" + index + "]";
      if (!resources.containsKey(key)) {
        invalid.add(new Violation(field, key.toString(), "no resource of this name"));
      }
      addForeignTenant(field, key, change.tenant(), foreignTenant);
    }
    for (int index = 0; index < change.upserts().size(); index++) {
      Resource upsert = change.upserts().get(index);
      addForeignTenant("upserts[" + index + "].name", upsert.key(), change.tenant(), foreignTenant);
      if (upsert instanceof Route route) {
        addForeignSecret("upserts[" + index + "].secret", route, foreignTenant);
      } else if (upsert instanceof Pool pool) {
        addUnknownService("upserts[" + index + "].service", pool, invalid);
      }
    }
    if (!foreignTenant.isEmpty()) {
      return refusal(RefusalCode.CONFLICT, foreignTenant);
    }
    return invalid.isEmpty() ? Optional.empty() : refusal(RefusalCode.INVALID, invalid);
  }

  private Violation versionViolation(Version expected) {
    String message = "the committed version is " + base.version() + " or a newer one is on its way";
    return new Violation("expected_version", expected.toString(), message);
  }

  private void addForeignTenant(
      String field, ResourceKey key, String tenant, List<Violation> found) {
    resources
        .get(key)
        .filter(existing -> !existing.tenant().equals(tenant))
        .forEach(any -> found.add(new Violation(field, key.name(), "owned by another tenant")));
  }

  /**
   * A pool of a service that the platform lacks would keep every later version of every tenant from
   * coming into force. Before any document was read nothing can be said of services.
   */
  private void addUnknownService(String field, Pool pool, List<Violation> found) {
    boolean known = document.services().containsKey(pool.service());
    if (!known && document.revision() > PlatformDocument.NONE.revision()) {
      String message = "no service of this name in platform document " + document.revision();
      found.add(new Violation(field, pool.service(), message));
    }
  }

  private void addForeignSecret(String field, Route route, List<Violation> found) {
    route
        .secret()
        .ifPresent(
            name ->
                addForeignTenant(
                    field, new ResourceKey(ResourceKind.SECRET, name), route.tenant(), found));
  }

  private FleetState with(TreeMap<ResourceKey, Resource> candidate) {
    return new FleetState(
        base.version(),
        candidate,
        base.drained(),
        base.roster(),
        base.previousRoster(),
        base.nextSlot(),
        base.answered(),
        base.contentHash());
  }

  /** Whether the batch contains no changes. */
  boolean isEmpty() {
    return answered.isEmpty();
  }

  List<Resource> upserts() {
    List<Resource> upserts = new ArrayList<>();
    for (ResourceKey key : changedKeys) {
      resources
          .get(key)
          .filter(resource -> !baseResources.get(key).contains(resource))
          .forEach(upserts::add);
    }
    return upserts;
  }

  List<ResourceKey> deletes() {
    List<ResourceKey> deletes = new ArrayList<>();
    for (ResourceKey key : changedKeys) {
      if (baseResources.containsKey(key) && !resources.containsKey(key)) {
        deletes.add(key);
      }
    }
    return deletes;
  }

  List<ChangeSet.DrainChange> drains() {
    List<ChangeSet.DrainChange> drains = new ArrayList<>();
    drained.diff(base.drained()).forEach(id -> drains.add(new ChangeSet.DrainChange(id, true)));
    base.drained().diff(drained).forEach(id -> drains.add(new ChangeSet.DrainChange(id, false)));
    return drains;
  }

  List<StateDelta.Answer> answers() {
    List<StateDelta.Answer> answers = new ArrayList<>();
    answered.forEach((key, change) -> answers.add(new StateDelta.Answer(key, change)));
    return answers;
  }

  /**
   * Keys of the oldest remembered results to evict so that at most the given number are remembered.
   */
  List<String> evictedKeys(int remembered) {
    int excess = base.answered().size() + answered.size() - remembered;
    return excess <= 0 ? List.of() : base.answered().keySet().take(excess).toJavaList();
  }
}
