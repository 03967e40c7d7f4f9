package org.mimosacleat.lab.measure.fleet;

import java.util.List;

/**
 * A straight line fitted to measured points by least squares.
 *
 * @param atZero the value at zero
 * @param perUnit what each unit adds
 */
record Slope(double atZero, double perUnit) {
  /** Fits a line. */
  static Slope fit(List<Point> points) {
    double meanX = points.stream().mapToDouble(Point::x).average().orElseThrow();
    double meanY = points.stream().mapToDouble(Point::y).average().orElseThrow();
    double squares = points.stream().mapToDouble(p -> (p.x() - meanX) * (p.x() - meanX)).sum();
    double products = points.stream().mapToDouble(p -> (p.x() - meanX) * (p.y() - meanY)).sum();
    double perUnit = products / squares;
    return new Slope(meanY - perUnit * meanX, perUnit);
  }

  double at(double x) {
    return atZero + perUnit * x;
  }

  /**
   * One measurement.
   *
   * @param x the size
   * @param y the value measured at it
   */
  record Point(double x, double y) {}
}
