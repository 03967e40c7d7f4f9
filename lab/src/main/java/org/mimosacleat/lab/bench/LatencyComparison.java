package org.mimosacleat.lab.bench;

import org.HdrHistogram.Histogram;

/**
 * Round-trip times of a single client, directly and through the proxy.
 *
 * @param direct round-trip times to the endpoint, in nanoseconds
 * @param proxied round-trip times through the proxy, in nanoseconds
 */
public record LatencyComparison(Histogram direct, Histogram proxied) {
  private static final double MEDIAN = 50;
  private static final double NANOSECONDS_PER_MICROSECOND = 1_000;

  /** Returns the median direct round-trip time in microseconds. */
  public double directMedianMicroseconds() {
    return direct.getValueAtPercentile(MEDIAN) / NANOSECONDS_PER_MICROSECOND;
  }

  /** Returns the median round-trip time through the proxy in microseconds. */
  public double proxiedMedianMicroseconds() {
    return proxied.getValueAtPercentile(MEDIAN) / NANOSECONDS_PER_MICROSECOND;
  }

  /** Returns the proxied median divided by the direct median. */
  public double ratio() {
    return proxiedMedianMicroseconds() / directMedianMicroseconds();
  }
}
