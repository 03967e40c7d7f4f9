package org.mimosacleat.lab.bench;

import org.HdrHistogram.Histogram;

/**
 * Round trips of one client.
 *
 * @param direct round trips to the endpoint, in nanoseconds
 * @param proxied round trips through the proxy, in nanoseconds
 */
public record LatencyComparison(Histogram direct, Histogram proxied) {
  private static final double MEDIAN = 50;
  private static final double NANOSECONDS_PER_MICROSECOND = 1_000;

  /** Returns the direct median in microseconds. */
  public double directMedianMicroseconds() {
    return direct.getValueAtPercentile(MEDIAN) / NANOSECONDS_PER_MICROSECOND;
  }

  /** Returns the proxied median in microseconds. */
  public double proxiedMedianMicroseconds() {
    return proxied.getValueAtPercentile(MEDIAN) / NANOSECONDS_PER_MICROSECOND;
  }

  /** Returns the proxied median over the direct one. */
  public double ratio() {
    return proxiedMedianMicroseconds() / directMedianMicroseconds();
  }
}
