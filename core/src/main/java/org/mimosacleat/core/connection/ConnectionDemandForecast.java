package org.mimosacleat.core.connection;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * Foresees how many connections will be needed one opening time from now, so that they are open
 * when a swing of demand arrives.
 *
 * <p>Call {@link #observe} at each change of demand and every few milliseconds, and keep {@link
 * #wanted} connections open as far as the quota allows. It follows a rise at once and its slope
 * ahead, and falls slowly, so that a dip does not close what the next swing needs. Not safe for
 * several threads.
 */
public final class ConnectionDemandForecast {
  private static final double HEADROOM = 0.2;
  private static final Duration SLOPE_WINDOW = Duration.ofMillis(20);
  private static final Duration HALF_LIFE = Duration.ofSeconds(5);
  private static final double SLOPE_LEAD = 2;

  private final int minimum;
  private final Duration openTime;
  private final InstantSource clock;
  private Instant windowStart;
  private Instant lastObserved;
  private int demandAtWindowStart;
  private double risePerSecond;
  private double peak;

  /**
   * Starts with no demand.
   *
   * @param minimum connections to keep open always
   * @param openTime how long an opening takes
   */
  public ConnectionDemandForecast(int minimum, Duration openTime, InstantSource clock) {
    this.minimum = minimum;
    this.openTime = openTime;
    this.clock = clock;
    this.windowStart = clock.instant();
    this.lastObserved = windowStart;
  }

  /** Takes in the connections in use and the transactions that wait for one. */
  public void observe(int inUse, int waiting) {
    Instant now = clock.instant();
    int demand = inUse + waiting;
    Duration window = Duration.between(windowStart, now);
    if (window.compareTo(SLOPE_WINDOW) >= 0) {
      risePerSecond = Math.max(0, (demand - demandAtWindowStart) / seconds(window));
      windowStart = now;
      demandAtWindowStart = demand;
    }
    double halvings = seconds(Duration.between(lastObserved, now)) / seconds(HALF_LIFE);
    peak = Math.max(demand, peak * Math.pow(0.5, halvings));
    lastObserved = now;
  }

  /** Returns how many connections to keep open, those in use included. */
  public int wanted() {
    double lead = risePerSecond * seconds(openTime) * SLOPE_LEAD;
    int wanted = (int) Math.ceil(peak * (1 + HEADROOM) + lead);
    return Math.max(minimum, wanted);
  }

  private static double seconds(Duration duration) {
    return duration.toNanos() / 1e9;
  }
}
