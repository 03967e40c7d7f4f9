package org.mimosacleat.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.mimosacleat.core.id.VmId;

/** One share of a home, with the decision when its next report is due. */
final class HomeShare {
  /** A share can rise only after two such intervals, because every home must echo an answer. */
  private static final Duration KEEPALIVE_INTERVAL = Duration.ofMillis(300);

  private static final double HIGH_DEMAND_RATIO = 0.9;
  private static final double DEMAND_CHANGE_RATIO = 0.1;

  private final ShareHolder holder;
  private Instant lastSentAt = Instant.EPOCH;
  private long lastSentDemand;

  HomeShare(ShareHolder holder) {
    this.holder = holder;
  }

  boolean accept(ShareGrant grant) {
    return holder.accept(grant);
  }

  /**
   * Returns a report if demand is close to the share or has changed, or if the last report is older
   * than the keepalive interval.
   */
  Optional<ShareReport> reportIfDue(VmId coordinator, long demand, Instant now) {
    long held = holder.held();
    boolean nearLimit = demand > HIGH_DEMAND_RATIO * held;
    boolean changed =
        Math.abs(demand - lastSentDemand) > DEMAND_CHANGE_RATIO * Math.max(held, lastSentDemand);
    boolean keepaliveDue = !now.isBefore(lastSentAt.plus(KEEPALIVE_INTERVAL));
    if (!nearLimit && !changed && !keepaliveDue) {
      return Optional.empty();
    }
    lastSentAt = now;
    lastSentDemand = demand;
    return Optional.of(holder.nextReport(coordinator, demand));
  }
}
