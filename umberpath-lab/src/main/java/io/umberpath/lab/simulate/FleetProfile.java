package io.umberpath.lab.simulate;

import java.util.Arrays;
import java.util.List;

/** The deployments a simulation can imitate: their zones, delays, services and sizes. */
public enum FleetProfile {
  /** Stall booking: four zones half a millisecond apart. */
  KLANG_VALLEY(
      List.of("selayang", "shah-alam", "kepong", "bangsar"),
      1,
      500_000,
      List.of("booking", "records")),
  /** Dealers' pricing tool: four zones one and a half milliseconds apart. */
  WESTERN_SRI_LANKA(
      List.of("col-a", "col-b", "col-c", "neg-a"),
      1,
      1_500_000,
      List.of("dealer-desk", "survey-hub")),
  /** The size both expect in two years: three regions, eight zones, 200 services. */
  TWO_YEAR(numbered("zone-", 8), 3, 500_000, numbered("service-", 200));

  private static final int TWO_YEAR_NODES = 5_900;
  private static final int TODAY_NODES = 12;

  private final List<String> zones;
  private final int regions;
  private final long zoneDelayNanos;
  private final List<String> services;

  FleetProfile(List<String> zones, int regions, long zoneDelayNanos, List<String> services) {
    this.zones = zones;
    this.regions = regions;
    this.zoneDelayNanos = zoneDelayNanos;
    this.services = services;
  }

  /** Names of the failure domains; numbered ones if the count differs from the deployment's. */
  List<String> zones(int count) {
    return count == zones.size() ? zones : numbered("zone-", count);
  }

  int zoneCount() {
    return zones.size();
  }

  int regionCount() {
    return regions;
  }

  /** One-way delay between two zones of a region. */
  long zoneDelayNanos() {
    return zoneDelayNanos;
  }

  List<String> services() {
    return services;
  }

  int nodes() {
    return this == TWO_YEAR ? TWO_YEAR_NODES : TODAY_NODES;
  }

  /** The name on the command line. */
  public String label() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
  }

  /**
   * The profile with a label.
   *
   * @throws IllegalArgumentException naming the value if there is none
   */
  public static FleetProfile of(String label) {
    return Arrays.stream(values())
        .filter(profile -> profile.label().equals(label))
        .findFirst()
        .orElseThrow(
            () ->
                new IllegalArgumentException(
                    "--profile '"
                        + label
                        + "' is not one of "
                        + Arrays.stream(values()).map(FleetProfile::label).toList()));
  }

  private static List<String> numbered(String prefix, int count) {
    return java.util.stream.IntStream.range(0, count).mapToObj(i -> prefix + i).toList();
  }
}
