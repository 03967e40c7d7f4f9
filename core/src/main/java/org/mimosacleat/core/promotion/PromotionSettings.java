package org.mimosacleat.core.promotion;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * The settings of promotions.
 *
 * @param missedPolls consecutive polls that the primary leaves unanswered before its home takes it
 *     as lost; the peers are asked at the first
 * @param zonesNeeded availability zones that must have lost sight of the primary, the home's own
 *     among them
 * @param evidenceTimeout how long the peers may take to answer before they are asked again
 * @param fenceGrace how long to wait for more fenced endpoints when the earlier primary would have
 *     to be considered as the next one
 * @param promoteTimeout how long the promoted endpoint may take to serve with a replica
 * @param retryInterval how long to wait before a question without an answer is sent again
 * @param reservedTerms terms that a home reserves ahead, so that a promotion needs no write
 * @param exclusiveEndpoints whether endpoints refuse fences and promotions of every home but the
 *     latest; terms then need no reservation, because a majority of fences shows those in use
 */
public record PromotionSettings(
    int missedPolls,
    int zonesNeeded,
    Duration evidenceTimeout,
    Duration fenceGrace,
    Duration promoteTimeout,
    Duration retryInterval,
    int reservedTerms,
    boolean exclusiveEndpoints) {
  /** For a lease that lives in a row of the table service alone. */
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

  /** Checks the parts. */
  public PromotionSettings {
    Checks.positive("missed polls", missedPolls);
    Checks.positive("zones needed", zonesNeeded);
    Checks.positive("evidence timeout in ns", evidenceTimeout.toNanos());
    Checks.notNegative("fence grace in ns", fenceGrace.toNanos());
    Checks.positive("promote timeout in ns", promoteTimeout.toNanos());
    Checks.positive("retry interval in ns", retryInterval.toNanos());
    Checks.notNegative("reserved terms", reservedTerms);
  }
}
