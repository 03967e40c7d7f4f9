package org.mimosacleat.lab.measure.load;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/** A fixed number of statements that each proxy lets in at once, whoever they are from. */
final class ProxyLimits {
  private final int proxies;
  private final int limit;
  private final int[] inside;
  private final SplittableRandom random;
  private final Map<Long, Integer> proxyOf = new HashMap<>();

  ProxyLimits(int proxies, int limit, long seed) {
    this.proxies = proxies;
    this.limit = limit;
    this.inside = new int[proxies];
    this.random = new SplittableRandom(seed);
  }

  static ProxyLimits none() {
    return new ProxyLimits(1, Integer.MAX_VALUE, 0);
  }

  /** Lets a job in at the proxy that its caller reaches; lower numbers are reached more often. */
  boolean enter(Job job) {
    int proxy = (int) (proxies * random.nextDouble() * random.nextDouble());
    if (inside[proxy] >= limit) {
      return false;
    }
    inside[proxy]++;
    proxyOf.put(job.number(), proxy);
    return true;
  }

  void leave(Job job) {
    inside[proxyOf.remove(job.number())]--;
  }
}
