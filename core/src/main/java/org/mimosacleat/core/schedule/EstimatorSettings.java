package org.mimosacleat.core.schedule;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The settings of a {@link ServiceTimeEstimator}.
 *
 * @param maximumFingerprints the number of fingerprints kept; the least recently used is evicted
 * @param prior the run time assumed for statements until enough runs have been recorded
 * @param longFactor a statement is long if its run time exceeds the overall median by this factor
 * @param quantile the quantile of a fingerprint's run times that is compared with the threshold
 */
public record EstimatorSettings(
    int maximumFingerprints, Duration prior, double longFactor, double quantile) {
  /** The default settings. */
  public static final EstimatorSettings STANDARD =
      new EstimatorSettings(4096, Duration.ofMillis(5), 10, 0.9);

  private static final double MAX_LONG_FACTOR = 1000;

  /** Checks the values. */
  public EstimatorSettings {
    Checks.positive("maximum fingerprints", maximumFingerprints);
    Checks.positive("prior run time in nanoseconds", prior.toNanos());
    Checks.between("long factor", longFactor, 2, MAX_LONG_FACTOR);
    Checks.between("quantile", quantile, 0.5, 0.99);
  }
}
