package org.mimosacleat.proxy.command;

import java.security.SecureRandom;
import java.time.InstantSource;
import org.mimosacleat.core.store.StoreLimits;
import org.mimosacleat.core.store.StoreRateLimiter;
import org.mimosacleat.core.time.MonotonicClock;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.proxy.settings.ProxySettings;
import org.mimosacleat.store.aws.AwsPlatform;
import org.mimosacleat.store.pacing.StorePacer;

/** Creates the platform's services, rate-limited to this proxy's share of the fleet's requests. */
final class PlatformFactory {
  private static final double STORE_REQUESTS_PER_SECOND = 1_000;

  private PlatformFactory() {}

  static AwsPlatform open(ProxySettings settings) {
    InstantSource clock = new MonotonicClock();
    return new AwsPlatform(
        settings.platform(), pacer(settings, clock), pacer(settings, clock), clock);
  }

  private static StorePacer pacer(ProxySettings settings, InstantSource clock) {
    int fleetSize = settings.peers().size() + 1;
    StoreLimits limits = StoreLimits.forFleet(fleetSize, STORE_REQUESTS_PER_SECOND);
    return new StorePacer(
        new StoreRateLimiter(limits, clock, new SecureRandom()), clock, Sleeper.SYSTEM);
  }
}
