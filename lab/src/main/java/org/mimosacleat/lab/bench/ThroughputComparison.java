package org.mimosacleat.lab.bench;

/**
 * Statements a second of many clients.
 *
 * @param clients clients that ran at once
 * @param directPerSecond statements a second to the endpoint
 * @param proxiedPerSecond statements a second through the proxy
 */
public record ThroughputComparison(int clients, double directPerSecond, double proxiedPerSecond) {
  /** Returns the proxied rate over the direct one. */
  public double ratio() {
    return proxiedPerSecond / directPerSecond;
  }
}
