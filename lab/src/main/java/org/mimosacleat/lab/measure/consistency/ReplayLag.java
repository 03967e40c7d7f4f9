package org.mimosacleat.lab.measure.consistency;

import java.time.Duration;
import java.util.Random;

/**
 * The replay of one replica: which moment of the primary's log it shows. The lag is drawn from a
 * log-normal distribution and drawn anew at random times; replay never goes back.
 */
final class ReplayLag {
  private static final double MEDIAN_SECONDS = 0.020;
  private static final double HIGH_SECONDS = 0.500;
  private static final double NORMAL_QUANTILE_99 = 2.326;
  private static final double MEAN_EPISODE_SECONDS = 1.0;

  private final double[] episodeStart;
  private final double[] lag;
  private final double[] shownAtStart;

  /**
   * Draws the lags of a run.
   *
   * @param factor multiplies every lag
   */
  ReplayLag(Random random, Duration length, double factor) {
    final double sigma = Math.log(HIGH_SECONDS / MEDIAN_SECONDS) / NORMAL_QUANTILE_99;
    int episodes = (int) (length.toSeconds() / MEAN_EPISODE_SECONDS) * 2 + 10;
    episodeStart = new double[episodes];
    lag = new double[episodes];
    shownAtStart = new double[episodes];
    double at = 0;
    double shown = 0;
    for (int episode = 0; episode < episodes; episode++) {
      lag[episode] = factor * MEDIAN_SECONDS * Math.exp(sigma * random.nextGaussian());
      episodeStart[episode] = at;
      shownAtStart[episode] = shown;
      at -= MEAN_EPISODE_SECONDS * Math.log(1 - random.nextDouble());
      shown = Math.max(shown, at - lag[episode]);
    }
  }

  /** Returns the moment up to which the replica shows the primary's log, in seconds. */
  double shownAt(double seconds) {
    int found = java.util.Arrays.binarySearch(episodeStart, seconds);
    int episode = found >= 0 ? found : -found - 2;
    return Math.max(shownAtStart[episode], seconds - lag[episode]);
  }
}
