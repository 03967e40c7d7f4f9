package org.mimosacleat.lab.measure.consistency;

import java.time.Duration;
import java.util.Random;

/**
 * The replay lag of one replica. The lag is drawn from a log-normal distribution and drawn again at
 * random times; the replayed position never decreases.
 */
final class ReplayLag {
  private static final double MEDIAN_SECONDS = 0.020;
  private static final double P99_SECONDS = 0.500;
  private static final double NORMAL_QUANTILE_99 = 2.326;
  private static final double MEAN_EPISODE_SECONDS = 1.0;

  private final double[] episodeStart;
  private final double[] lag;
  private final double[] replayedAtStart;

  /**
   * Draws the lags of a run.
   *
   * @param factor the multiplier of every lag
   */
  ReplayLag(Random random, Duration length, double factor) {
    final double sigma = Math.log(P99_SECONDS / MEDIAN_SECONDS) / NORMAL_QUANTILE_99;
    int episodes = (int) (length.toSeconds() / MEAN_EPISODE_SECONDS) * 2 + 10;
    episodeStart = new double[episodes];
    lag = new double[episodes];
    replayedAtStart = new double[episodes];
    double at = 0;
    double replayed = 0;
    for (int episode = 0; episode < episodes; episode++) {
      lag[episode] = factor * MEDIAN_SECONDS * Math.exp(sigma * random.nextGaussian());
      episodeStart[episode] = at;
      replayedAtStart[episode] = replayed;
      at -= MEAN_EPISODE_SECONDS * Math.log(1 - random.nextDouble());
      replayed = Math.max(replayed, at - lag[episode]);
    }
  }

  /** Returns the time up to which the primary's log is replayed at a given time, in seconds. */
  double replayedAt(double seconds) {
    int found = java.util.Arrays.binarySearch(episodeStart, seconds);
    int episode = found >= 0 ? found : -found - 2;
    return Math.max(replayedAtStart[episode], seconds - lag[episode]);
  }
}
