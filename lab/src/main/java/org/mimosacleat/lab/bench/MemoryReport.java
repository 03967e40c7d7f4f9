package org.mimosacleat.lab.bench;

import java.util.List;

/**
 * Resident memory over the number of idle connections.
 *
 * @param readings one for each step, the first without connections
 */
public record MemoryReport(List<MemoryReading> readings) {
  /** Copies the readings. */
  public MemoryReport {
    readings = List.copyOf(readings);
  }

  /** Returns the bytes that one connection adds, by least squares over all readings. */
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
