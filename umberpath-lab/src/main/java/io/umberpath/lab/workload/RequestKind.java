package io.umberpath.lab.workload;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** The requests of the workloads. */
public enum RequestKind {
  /** Pays a pitch fee; runs at most once. */
  FEES("POST", false, 8_000, 0.4),
  /** Places a fabrication order; runs at most once. */
  ORDERS("POST", false, 10_000, 0.4),
  /** Looks up a record. */
  LOOKUPS("GET", true, 2_000, 0.5),
  /** Browses availability, profiles or glass. */
  BROWSE("GET", true, 4_000, 0.6),
  /** Stores a photo, certificate or drawing; the same upload may be stored again. */
  UPLOADS("PUT", true, 5_000, 0.3);

  private final String method;
  private final boolean repeatable;
  private final double medianMicros;
  private final double sigma;

  RequestKind(String method, boolean repeatable, double medianMicros, double sigma) {
    this.method = method;
    this.repeatable = repeatable;
    this.medianMicros = medianMicros;
    this.sigma = sigma;
  }

  /** HTTP method. */
  public String method() {
    return method;
  }

  /** First segment of the path, with its leading slash. */
  public String path() {
    return "/" + name().toLowerCase(Locale.ROOT);
  }

  /** Whether it may run more than once. */
  public boolean isRepeatable() {
    return repeatable;
  }

  /** Median of the log-normal service time of a warm back end, microseconds. */
  public double medianMicros() {
    return medianMicros;
  }

  /** Standard deviation of the service time's logarithm. */
  public double sigma() {
    return sigma;
  }

  /** The kind of a request, by method and first path segment. */
  public static Optional<RequestKind> of(String method, String path) {
    return Arrays.stream(values())
        .filter(kind -> kind.method.equals(method))
        .filter(kind -> path.equals(kind.path()) || path.startsWith(kind.path() + "/"))
        .findFirst();
  }
}
