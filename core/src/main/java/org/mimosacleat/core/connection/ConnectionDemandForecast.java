package org.mimosacleat.core.connection;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * Forecasts how many connections will be needed after the time that opening one takes, so that they
 * are already open when demand rises.
 *
 * <p>Call {@link #observe} at each change of demand and every few milliseconds, and keep {@link
 * #targetSize} connections open as far as the quota allows. The forecast follows a rise immediately
 * and extrapolates its slope. It falls slowly, so that a short dip does not close connections that
 * the next rise needs. Not thread-safe.
 */
public final class ConnectionDemandForecast {
  private static final double HEADROOM_RATIO = 0.2;
  private static final Duration SLOPE_WINDOW = Duration.ofMillis(20);
  private static final Duration PEAK_HALF_LIFE = Duration.ofSeconds(5);
  private static final double SLOPE_LEAD_FACTOR = 2;

  private final int minimum;
  private final Duration openTime;
  private final InstantSource clock;
  private Instant windowStart;
  private Instant lastObserved;
  private int demandAtWindowStart;
  private double risePerSecond;
  private double peak;

  /**
   * Creates a forecast without demand.
   *
   * @param minimum the number of connections always kept open
   * @param openTime how long opening a connection takes
   */
  public ConnectionDemandForecast(int minimum, Duration openTime, InstantSource clock) {
    this.minimum = minimum;
    this.openTime = openTime;
    this.clock = clock;
    this.windowStart = clock.instant();
    this.lastObserved = windowStart;
  }

  /** Records the connections in use and the transactions that wait for one. */
  public void observe(int inUse, int waiting) {
    Instant now = clock.instant();
    int demand = inUse + waiting;
    Duration window = Duration.between(windowStart, now);
    if (window.compareTo(SLOPE_WINDOW) >= 0) {
      risePerSecond = Math.max(0, (demand - demandAtWindowStart) / seconds(window));
      windowStart = now;
      demandAtWindowStart = demand;
    }
    double halvings = seconds(Duration.between(lastObserved, now)) / seconds(PEAK_HALF_LIFE);
    peak = Math.max(demand, peak * Math.pow(0.5, halvings));
    lastObserved = now;
  }

  /** Returns how many connections to keep open, including those in use. */
  public int targetSize() {
    double expectedRise = risePerSecond * seconds(openTime) * SLOPE_LEAD_FACTOR;
    int targetSize = (int) Math.ceil(peak * (1 + HEADROOM_RATIO) + expectedRise);
    return Math.max(minimum, targetSize);
  }

  private static double seconds(Duration duration) {
    return duration.toNanos() / 1e9;
  }
}
