package org.mimosacleat.lab.measure.failover;

import java.time.Duration;
import java.util.Random;
import org.mimosacleat.lab.measure.Deployment;

/** Draws random latencies for a deployment; network latencies have an exponential tail. */
final class Latencies {
  private static final Duration WITHIN_ZONE = Duration.ofNanos(100_000);
  private static final double TAIL_SHARE = 0.2;

  private final Deployment deployment;
  private final Random random;

  Latencies(Deployment deployment, Random random) {
    this.deployment = deployment;
    this.random = random;
  }

  Duration between(int zone, int other) {
    Duration base = zone == other ? WITHIN_ZONE : deployment.zoneLatency();
    return base.plus(exponential(base.toNanos() * TAIL_SHARE));
  }

  /** Returns the latency of one read or write of the table service. */
  Duration tableRequest() {
    return uniform(5, 20);
  }

  /** Returns the time to flush a fence to disk. */
  Duration fenceFlush() {
    return uniform(1, 3);
  }

  /** Returns the time to complete recovery on a promoted endpoint. */
  Duration promotion() {
    return uniform(20, 100);
  }

  /** Returns the time a replica takes to follow another primary. */
  Duration primaryChange() {
    return uniform(20, 50);
  }

  /** Returns the time to flush a record on a replica: log-normal with a median of 0.3 ms. */
  Duration replicaFlush() {
    return Duration.ofNanos((long) (300_000 * Math.exp(random.nextGaussian())));
  }

  Duration uniform(long fromMilliseconds, long toMilliseconds) {
    double span = (toMilliseconds - fromMilliseconds) * random.nextDouble();
    return Duration.ofNanos((long) ((fromMilliseconds + span) * 1e6));
  }

  private Duration exponential(double meanNanoseconds) {
    return Duration.ofNanos((long) (-meanNanoseconds * Math.log(1 - random.nextDouble())));
  }
}
