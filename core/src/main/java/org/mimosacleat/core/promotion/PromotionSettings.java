package org.mimosacleat.core.promotion;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The settings of promotions.
 *
 * @param missedPollThreshold number of consecutive polls without an answer after which the home
 *     considers the primary unreachable; the peers are asked after the first
 * @param requiredZones number of availability zones, the home's own included, from which the
 *     primary must be unreachable before it is replaced
 * @param evidenceTimeout how long the peers may take to answer before they are asked again
 * @param fenceGracePeriod how long to wait for more fenced endpoints before the previous primary
 *     becomes a candidate again
 * @param promoteTimeout how long an endpoint may take to answer a request to promote it
 * @param retryInterval how long to wait before an unanswered request is sent again
 * @param reservedTerms number of terms that a home reserves in advance, so that a promotion needs
 *     no write to the table service
 * @param exclusiveEndpoints whether endpoints refuse fences and promotions of every home but the
 *     latest; terms then need no reservation, because a fenced majority shows which are in use
 */
public record PromotionSettings(
    int missedPollThreshold,
    int requiredZones,
    Duration evidenceTimeout,
    Duration fenceGracePeriod,
    Duration promoteTimeout,
    Duration retryInterval,
    int reservedTerms,
    boolean exclusiveEndpoints) {
  /** For a lease that is stored only in a row of the table service. */
  public static final PromotionSettings TABLE_LEASE =
      new PromotionSettings(
          2,
          2,
          Duration.ofMillis(150),
          Duration.ofMillis(100),
          Duration.ofMillis(500),
          Duration.ofMillis(50),
          8,
          false);

  /** For a lease that a majority of the endpoints enforces. */
  public static final PromotionSettings ENDPOINT_LEASE =
      new PromotionSettings(
          2,
          2,
          Duration.ofMillis(150),
          Duration.ofMillis(100),
          Duration.ofMillis(500),
          Duration.ofMillis(50),
          8,
          true);

  /** Checks the values. */
  public PromotionSettings {
    Checks.positive("missed polls", missedPollThreshold);
    Checks.positive("zones needed", requiredZones);
    Checks.positive("evidence timeout in ns", evidenceTimeout.toNanos());
    Checks.notNegative("fence grace in ns", fenceGracePeriod.toNanos());
    Checks.positive("promote timeout in ns", promoteTimeout.toNanos());
    Checks.positive("retry interval in ns", retryInterval.toNanos());
    Checks.notNegative("reserved terms", reservedTerms);
  }
}
