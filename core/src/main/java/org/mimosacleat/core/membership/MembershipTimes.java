package org.mimosacleat.core.membership;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The intervals and timeouts of the membership protocol.
 *
 * @param probeInterval how often a VM probes another; also the time limit of a probe, indirect
 *     pings included
 * @param directTimeout how long a probe waits for a direct answer before it asks helpers
 * @param suspicionTimeout how long a suspect has to refute the suspicion
 * @param confirmedSuspicionTimeout the shorter time once VMs in two zones suspect it
 * @param pauseThreshold a longer gap between two ticks means that this process was paused
 * @param reprobeInterval how often a dead VM that the platform lists is pinged again
 */
public record MembershipTimes(
    Duration probeInterval,
    Duration directTimeout,
    Duration suspicionTimeout,
    Duration confirmedSuspicionTimeout,
    Duration pauseThreshold,
    Duration reprobeInterval) {
  /** The values that the proxy uses. */
  public static final MembershipTimes STANDARD =
      new MembershipTimes(
          Duration.ofMillis(1_000),
          Duration.ofMillis(300),
          Duration.ofMillis(4_000),
          Duration.ofMillis(1_500),
          Duration.ofMillis(800),
          Duration.ofMillis(2_000));

  /**
   * Checks that helpers have time to answer, and that confirmation does not lengthen suspicions.
   */
  public MembershipTimes {
    Checks.positive("direct timeout in milliseconds", directTimeout.toMillis());
    Checks.atLeast(
        "probe interval in milliseconds",
        probeInterval.toMillis(),
        directTimeout.multipliedBy(2).toMillis());
    Checks.atLeast(
        "suspicion timeout in milliseconds",
        suspicionTimeout.toMillis(),
        confirmedSuspicionTimeout.toMillis());
  }
}
