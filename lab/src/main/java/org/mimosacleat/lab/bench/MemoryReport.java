package org.mimosacleat.lab.bench;

import java.util.List;

/**
 * Resident memory as a function of the number of idle connections.
 *
 * @param readings one per step; the first is taken without connections
 */
public record MemoryReport(List<MemoryReading> readings) {
  /** Creates a report with a copy of the list. */
  public MemoryReport {
    readings = List.copyOf(readings);
  }

  /** Returns the bytes per connection, fitted by least squares over all readings. */
  public double bytesPerConnection() {
    double meanConnections =
        readings.stream().mapToInt(MemoryReading::connections).average().orElse(0);
    double meanBytes =
        readings.stream().mapToLong(MemoryReading::residentBytes).average().orElse(0);
    double covariance = 0;
    double variance = 0;
    for (MemoryReading reading : readings) {
      double deviation = reading.connections() - meanConnections;
      covariance += deviation * (reading.residentBytes() - meanBytes);
      variance += deviation * deviation;
    }
    return covariance / variance;
  }
}
