package org.mimosacleat.lab.bench;

/**
 * Statement rates of concurrent clients, directly and through the proxy.
 *
 * @param clients the number of concurrent clients
 * @param directPerSecond statements per second sent to the endpoint
 * @param proxiedPerSecond statements per second through the proxy
 */
public record ThroughputComparison(int clients, double directPerSecond, double proxiedPerSecond) {
  /** Returns the proxied rate divided by the direct rate. */
  public double ratio() {
    return proxiedPerSecond / directPerSecond;
  }
}
