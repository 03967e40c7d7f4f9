package org.mimosacleat.lab.measure;

import java.time.Duration;
import java.util.List;
import org.mimosacleat.core.id.AvailabilityZone;

/**
 * The sizes of one of the two deployments of today.
 *
 * @param name the operator
 * @param zones its availability zones
 * @param proxies entry VMs that run a proxy
 * @param groups database groups
 * @param instances endpoints of a group
 * @param slots statements that an endpoint runs at once
 * @param connections connections that an endpoint allows
 * @param zoneLatency one way between two availability zones
 * @param clientLatency one way between a client and a proxy
 * @param connectTime how long a new endpoint connection takes
 */
public record Deployment(
    String name,
    List<AvailabilityZone> zones,
    int proxies,
    int groups,
    int instances,
    int slots,
    int connections,
    Duration zoneLatency,
    Duration clientLatency,
    Duration connectTime) {

  /** Kaitiaki Moisture Meter Co-operative. */
  public static final Deployment KAITIAKI =
      new Deployment(
          "kaitiaki",
          zones("tamaki", "kirikiriroa", "te-whanganui"),
          13,
          3,
          3,
          3,
          50,
          Duration.ofNanos(500_000),
          Duration.ofMillis(3),
          Duration.ofMillis(10));

  /** Instituto Municipal de Faroles Pintados de Cartago. */
  public static final Deployment CARTAGO =
      new Deployment(
          "cartago",
          zones("oriental", "occidental", "paraiso", "turrialba"),
          14,
          3,
          3,
          2,
          60,
          Duration.ofNanos(1_500_000),
          Duration.ofMillis(1),
          Duration.ofMillis(10));

  /** Both deployments. */
  public static final List<Deployment> ALL = List.of(KAITIAKI, CARTAGO);

  private static List<AvailabilityZone> zones(String... names) {
    return java.util.Arrays.stream(names).map(AvailabilityZone::new).toList();
  }
}
