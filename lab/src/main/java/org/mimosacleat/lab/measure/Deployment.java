package org.mimosacleat.lab.measure;

import java.time.Duration;
import java.util.List;
import org.mimosacleat.core.id.AvailabilityZone;

/**
 * The size and latencies of a production deployment.
 *
 * @param name the short name of the operator
 * @param zones the availability zones
 * @param proxies the number of VMs that run a proxy
 * @param groups the number of database groups
 * @param endpointsPerGroup the number of endpoints per group
 * @param slotsPerEndpoint the number of statements that an endpoint runs concurrently
 * @param connectionsPerEndpoint the maximum number of connections per endpoint
 * @param zoneLatency the one-way latency between two availability zones
 * @param clientLatency the one-way latency between a client and a proxy
 * @param connectTime the time that opening a connection to an endpoint takes
 */
public record Deployment(
    String name,
    List<AvailabilityZone> zones,
    int proxies,
    int groups,
    int endpointsPerGroup,
    int slotsPerEndpoint,
    int connectionsPerEndpoint,
    Duration zoneLatency,
    Duration clientLatency,
    Duration connectTime) {

  /** The deployment of the Kaitiaki Moisture Meter Co-operative. */
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

  /** The deployment of the Instituto Municipal de Faroles Pintados de Cartago. */
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

  /** All deployments, in the order in which they are reported. */
  public static final List<Deployment> ALL = List.of(KAITIAKI, CARTAGO);

  private static List<AvailabilityZone> zones(String... names) {
    return java.util.Arrays.stream(names).map(AvailabilityZone::new).toList();
  }
}
