package io.umberpath.lab.cluster;

import io.umberpath.lab.workload.RequestKind;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One of the two deployments.
 *
 * @param name name on the command line
 * @param tenant the operators' tenant
 * @param region region of its zones
 * @param zones its zones
 * @param services its services, in order
 * @param mix how often each kind of request is made
 * @param probeMillis time of a probe at its back ends
 * @param timings fleet timings, by settings field
 */
public record DeploymentProfile(
    String name,
    String tenant,
    String region,
    List<String> zones,
    List<Service> services,
    Map<RequestKind, Integer> mix,
    long probeMillis,
    Map<String, String> timings) {
  /** Klang Valley: favours control bytes. */
  public static final DeploymentProfile KLANG_VALLEY =
      new DeploymentProfile(
          "klang-valley",
          "klang-valley",
          "klang-valley",
          List.of("selayang", "shah-alam", "kepong", "bangsar"),
          List.of(
              new Service("booking", 7, List.of(RequestKind.FEES, RequestKind.BROWSE)),
              new Service("records", 5, List.of(RequestKind.LOOKUPS, RequestKind.UPLOADS))),
          Map.of(
              RequestKind.FEES, 25,
              RequestKind.BROWSE, 35,
              RequestKind.LOOKUPS, 35,
              RequestKind.UPLOADS, 5),
          1,
          Map.of(
              "batchWindow", "250ms",
              "heartbeat", "500ms",
              "parentStall", "2s",
              "election", "6s",
              "readInterval", "2s"));

  /** Western Sri Lanka: favours convergence time. */
  public static final DeploymentProfile WESTERN_SRI_LANKA =
      new DeploymentProfile(
          "western-sri-lanka",
          "western-sri-lanka",
          "western-sri-lanka",
          List.of("col-a", "col-b", "col-c", "neg-a"),
          List.of(
              new Service("dealer-desk", 7, List.of(RequestKind.ORDERS, RequestKind.BROWSE)),
              new Service("survey-hub", 5, List.of(RequestKind.LOOKUPS, RequestKind.UPLOADS))),
          Map.of(
              RequestKind.ORDERS, 20,
              RequestKind.BROWSE, 55,
              RequestKind.LOOKUPS, 15,
              RequestKind.UPLOADS, 10),
          6,
          Map.of(
              "batchWindow", "5ms",
              "heartbeat", "200ms",
              "parentStall", "1s",
              "election", "3s",
              "readInterval", "1s"));

  /**
   * A service and what it answers.
   *
   * @param name name in the platform's document
   * @param backends how many back ends it has
   * @param kinds requests routed to it
   */
  public record Service(String name, int backends, List<RequestKind> kinds) {}

  /** The profile of that name, if there is one. */
  public static Optional<DeploymentProfile> ofName(String name) {
    return Arrays.asList(KLANG_VALLEY, WESTERN_SRI_LANKA).stream()
        .filter(profile -> profile.name().equals(name))
        .findFirst();
  }

  /** Back ends of all services. */
  public int backends() {
    return services.stream().mapToInt(Service::backends).sum();
  }
}
