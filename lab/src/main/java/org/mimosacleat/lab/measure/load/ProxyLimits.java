package org.mimosacleat.lab.measure.load;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** A fixed limit of concurrent statements per proxy, shared by all customers. */
final class ProxyLimits {
  private final int proxies;
  private final int limit;
  private final int[] inFlight;
  private final SplittableRandom random;
  private final Map<Long, Integer> proxyOf = new HashMap<>();

  ProxyLimits(int proxies, int limit, long seed) {
    this.proxies = proxies;
    this.limit = limit;
    this.inFlight = new int[proxies];
    this.random = new SplittableRandom(seed);
  }

  static ProxyLimits unlimited() {
    return new ProxyLimits(1, Integer.MAX_VALUE, 0);
  }

  /**
   * Returns whether the job is admitted at the proxy that its client uses. The proxy is random;
   * lower indices are more likely.
   */
  boolean tryAcquire(Job job) {
    int proxy = (int) (proxies * random.nextDouble() * random.nextDouble());
    if (inFlight[proxy] >= limit) {
      return false;
    }
    inFlight[proxy]++;
    proxyOf.put(job.id(), proxy);
    return true;
  }

  void release(Job job) {
    inFlight[proxyOf.remove(job.id())]--;
  }
}
