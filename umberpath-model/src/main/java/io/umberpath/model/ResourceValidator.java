package io.umberpath.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Checks the fields of single resources, apart from references. */
public final class ResourceValidator {
  /** Longest secret value, bytes. */
  public static final int MAX_SECRET_BYTES = 4_096;

  /** Longest request timeout, milliseconds. */
  public static final long MAX_TIMEOUT_MILLIS = 3_600_000;

  private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?");
  private static final Pattern HOST = Pattern.compile("\\*|[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?");
  private static final Pattern PATH = Pattern.compile("/[!-~]{0,1023}");
  private static final Set<String> METHODS =
      Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH", "TRACE");
  private static final int MAX_SLOTS = 100_000;

  private ResourceValidator() {}

  /** Returns all violations of a change set's own fields, in order; empty if it is valid. */
  public static List<Violation> violations(ChangeSet change) {
    Collector collector = new Collector();
    collector.checkName("request_id", change.requestId());
    collector.checkName("tenant", change.tenant());
    for (int index = 0; index < change.upserts().size(); index++) {
      Resource resource = change.upserts().get(index);
      String path = "upserts[" + index + "]";
      collector.checkResource(path, resource);
      collector.check(
          resource.tenant().equals(change.tenant()),
          path + ".tenant",
          resource.tenant(),
          "must be the tenant of the change");
    }
    for (int index = 0; index < change.deletes().size(); index++) {
      collector.checkName("deletes[" + index + "].name", change.deletes().get(index).name());
    }
    for (int index = 0; index < change.drains().size(); index++) {
      collector.checkName(
          "drains[" + index + "].backend_id", change.drains().get(index).backendId());
    }
    boolean isEmpty =
        change.upserts().isEmpty() && change.deletes().isEmpty() && change.drains().isEmpty();
    collector.check(!isEmpty, "upserts", "", "a change must contain at least one item");
    return collector.violations;
  }

  private static final class Collector {
    private final List<Violation> violations = new ArrayList<>();

    private void check(boolean isValid, String field, String value, String message) {
      if (!isValid) {
        violations.add(new Violation(field, value, message));
      }
    }

    private void checkName(String field, String value) {
      check(NAME.matcher(value).matches(), field, value, "must match " + NAME.pattern());
    }

    private void checkResource(String path, Resource resource) {
      checkName(path + ".name", resource.name());
      if (resource instanceof Route route) {
        checkRoute(path, route);
      } else if (resource instanceof Pool pool) {
        checkPool(path, pool);
      } else if (resource instanceof Secret secret) {
        checkSecret(path, secret);
      }
    }

    private void checkRoute(String path, Route route) {
      check(HOST.matcher(route.host()).matches(), path + ".host", route.host(), "must be a host");
      check(
          PATH.matcher(route.pathPrefix()).matches(),
          path + ".path_prefix",
          route.pathPrefix(),
          "must begin with / and hold visible ASCII");
      checkName(path + ".pool", route.pool());
      route.secret().ifPresent(secret -> checkName(path + ".secret", secret));
      for (String method : route.repeatableMethods()) {
        check(
            METHODS.contains(method),
            path + ".repeatable_methods",
            method,
            "must be one of " + METHODS);
      }
      check(
          route.timeoutMillis() >= 1 && route.timeoutMillis() <= MAX_TIMEOUT_MILLIS,
          path + ".timeout_millis",
          Long.toString(route.timeoutMillis()),
          "must be between 1 and " + MAX_TIMEOUT_MILLIS);
    }

    private void checkPool(String path, Pool pool) {
      checkName(path + ".service", pool.service());
      checkRange(path + ".slots_per_backend", pool.slotsPerBackend());
      checkRange(path + ".connections_per_backend", pool.connectionsPerBackend());
    }

    private void checkRange(String field, int value) {
      check(
          value >= 1 && value <= MAX_SLOTS,
          field,
          Integer.toString(value),
          "must be between 1 and " + MAX_SLOTS);
    }

    private void checkSecret(String path, Secret secret) {
      boolean isValidLength =
          secret.value().length >= 1 && secret.value().length <= MAX_SECRET_BYTES;
      check(
          isValidLength,
          path + ".value",
          "redacted",
          "must hold 1 to " + MAX_SECRET_BYTES + " bytes");
      boolean isVisibleAscii = true;
      for (byte octet : secret.value()) {
        isVisibleAscii &= octet > ' ' && octet <= '~';
      }
      check(isVisibleAscii, path + ".value", "redacted", "must hold visible ASCII only");
    }
  }
}
