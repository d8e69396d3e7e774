package io.umberpath.model;

import java.util.List;
import java.util.Optional;

/**
 * One operator's atomic change: all of it is accepted or none.
 *
 * @param requestId chosen by the operator; a repeat with the same id is answered like the first
 * @param tenant the tenant that owns every resource named here
 * @param tier the tier the change is admitted with
 * @param expectedVersion refuse unless the committed version is still this one, if given
 * @param upserts resources to create or replace
 * @param deletes resources to remove
 * @param drains back-end ids to start or stop draining
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
   * Starts or stops the draining of a back end.
   *
   * @param backendId id in the platform's document
   * @param draining true to drain, false to return it to service
   */
  public record DrainChange(String backendId, boolean draining) {}
}
