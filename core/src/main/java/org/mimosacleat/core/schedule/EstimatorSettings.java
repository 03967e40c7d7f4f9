package org.mimosacleat.core.schedule;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The settings of a {@link ServiceTimeEstimator}.
 *
 * @param maximumFingerprints fingerprints remembered; the least recently used is dropped first
 * @param prior the run time expected of statements before any has finished
 * @param longFactor a statement is long when it takes this many times the median of all
 * @param quantile the quantile of a fingerprint's run times that is compared with the threshold
 */
public record EstimatorSettings(
    int maximumFingerprints, Duration prior, double longFactor, double quantile) {
  /** The settings used unless an operator chooses others. */
  public static final EstimatorSettings STANDARD =
      new EstimatorSettings(4096, Duration.ofMillis(5), 10, 0.9);

  private static final double MAXIMUM_FACTOR = 1000;

  /** Checks the values. */
  public EstimatorSettings {
    Checks.positive("maximum fingerprints", maximumFingerprints);
    Checks.positive("prior run time in nanoseconds", prior.toNanos());
    Checks.between("long factor", longFactor, 2, MAXIMUM_FACTOR);
    Checks.between("quantile", quantile, 0.5, 0.99);
  }
}
