package org.mimosacleat.lab.measure.failover;

import java.time.Duration;
import java.util.Random;
import org.mimosacleat.lab.measure.Deployment;

/** Draws the latencies of a deployment: a base and an exponential tail. */
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

  /** One write or read of the table service. */
  Duration table() {
    return uniform(5, 20);
  }

  /** The flush of a fence to disk. */
  Duration fence() {
    return uniform(1, 3);
  }

  /** The end of recovery on a promoted endpoint. */
  Duration promote() {
    return uniform(20, 100);
  }

  /** A replica's change to another primary. */
  Duration follow() {
    return uniform(20, 50);
  }

  /** The flush of a record on a replica: fast, with a tail. */
  Duration flush() {
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
