package org.mimosacleat.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.mimosacleat.core.id.VmId;

/** One share of a home, and when its next report is due. */
final class HomeShare {
  /** A share can rise only after two of these, since every home has to echo an answer. */
  private static final Duration KEEPALIVE = Duration.ofMillis(300);

  private static final double PRESSED = 0.9;
  private static final double CHANGED = 0.1;

  private final ShareHolder holder;
  private Instant sentAt = Instant.EPOCH;
  private long sentDemand;

  HomeShare(ShareHolder holder) {
    this.holder = holder;
  }

  boolean accept(ShareGrant grant) {
    return holder.accept(grant);
  }

  /** Returns a report if demand presses on the share or has changed, or the last one is old. */
  Optional<ShareReport> report(VmId coordinator, long demand, Instant now) {
    long held = holder.held();
    boolean pressed = demand > PRESSED * held;
    boolean changed = Math.abs(demand - sentDemand) > CHANGED * Math.max(held, sentDemand);
    boolean old = !now.isBefore(sentAt.plus(KEEPALIVE));
    if (!pressed && !changed && !old) {
      return Optional.empty();
    }
    sentAt = now;
    sentDemand = demand;
    return Optional.of(holder.report(coordinator, demand));
  }
}
