package org.mimosacleat.lab.measure.fleet;

import java.util.List;

/**
 * A straight line fitted to measured points by least squares.
 *
 * @param intercept the value at zero
 * @param slope the slope
 */
record LinearFit(double intercept, double slope) {
  /** Fits a line to at least two points with different {@code x}. */
  static LinearFit fit(List<Point> points) {
    double meanX = points.stream().mapToDouble(Point::x).average().orElseThrow();
    double meanY = points.stream().mapToDouble(Point::y).average().orElseThrow();
    double squares = points.stream().mapToDouble(p -> (p.x() - meanX) * (p.x() - meanX)).sum();
    double products = points.stream().mapToDouble(p -> (p.x() - meanX) * (p.y() - meanY)).sum();
    double slope = products / squares;
    return new LinearFit(meanY - slope * meanX, slope);
  }

  double valueAt(double x) {
    return intercept + slope * x;
  }

  /**
   * A measured point.
   *
   * @param x the size
   * @param y the value measured at that size
   */
  record Point(double x, double y) {}
}
