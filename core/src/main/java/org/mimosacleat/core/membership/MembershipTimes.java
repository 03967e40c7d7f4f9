package org.mimosacleat.core.membership;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The durations of membership.
 *
 * @param probeInterval how often a VM probes another; also how long a probe may take with helpers
 * @param directTimeout how long a probe waits before helpers are asked
 * @param suspicion how long a suspect has to refute
 * @param confirmedSuspicion how long it has once VMs of two zones suspect it
 * @param pause a gap between two ticks from which on this VM takes itself to have been paused
 * @param reprobe how often a dead VM that the platform lists is probed again
 */
public record MembershipTimes(
    Duration probeInterval,
    Duration directTimeout,
    Duration suspicion,
    Duration confirmedSuspicion,
    Duration pause,
    Duration reprobe) {
  /** The times of the proxy. */
  public static final MembershipTimes STANDARD =
      new MembershipTimes(
          Duration.ofMillis(1_000),
          Duration.ofMillis(300),
          Duration.ofMillis(4_000),
          Duration.ofMillis(1_500),
          Duration.ofMillis(800),
          Duration.ofMillis(2_000));

  /** Checks that helpers have time to answer. */
  public MembershipTimes {
    Checks.positive("direct timeout in milliseconds", directTimeout.toMillis());
    Checks.atLeast(
        "probe interval in milliseconds",
        probeInterval.toMillis(),
        directTimeout.multipliedBy(2).toMillis());
    Checks.atLeast(
        "suspicion in milliseconds", suspicion.toMillis(), confirmedSuspicion.toMillis());
  }
}
