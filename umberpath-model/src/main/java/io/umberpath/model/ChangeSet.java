package io.umberpath.model;

import java.util.List;
import java.util.Optional;

/**
 * An atomic change by an operator: all of it is accepted or none.
 *
 * @param requestId chosen by the operator; a retry with the same id gets the same result
 * @param tenant the tenant that owns every resource named here
 * @param tier the tier the change is admitted with
 * @param expectedVersion if given, the change is refused unless this is still the committed version
 * @param upserts resources to create or replace
 * @param deletes resources to remove
 * @param drains backend ids to start or stop draining
 */
public record ChangeSet(
    String requestId,
    String tenant,
    Tier tier,
    Optional<Version> expectedVersion,
    List<Resource> upserts,
    List<ResourceKey> deletes,
    List<DrainChange> drains) {
  /** Copies the lists. */
  public ChangeSet {
    upserts = List.copyOf(upserts);
    deletes = List.copyOf(deletes);
    drains = List.copyOf(drains);
  }

  /**
   * Starts or stops the draining of a backend.
   *
   * @param backendId id in the platform document
   * @param draining true to drain, false to return it to service
   */
  public record DrainChange(String backendId, boolean draining) {}
}
