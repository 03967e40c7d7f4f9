package org.mimosacleat.core.admission;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** What the coordinator knows of one holder's share of one team's limit. Not thread-safe. */
final class HolderShare {
  private final List<Commitment> commitments = new ArrayList<>();
  private Instant confirmedAt = Instant.MIN;
  private Instant reportedAt = Instant.MIN;
  private long demand;

  /** Records a report and forgets grants that the holder has replaced by a later one. */
  void reported(Instant now, long newDemand, long echo) {
    reportedAt = now;
    demand = newDemand;
    expire(now);
    for (Commitment commitment : commitments) {
      if (commitment.answer == echo) {
        confirmedAt = commitment.issuedAt;
      }
    }
    if (isConfirmed(now)) {
      commitments.removeIf(commitment -> commitment.issuedAt.isBefore(confirmedAt));
    }
  }

  void commit(Instant now, long answer, long units) {
    commitments.add(new Commitment(answer, now, units));
  }

  /**
   * Returns the most units that the holder may use until a grant issued now ends. A holder that has
   * received a grant less than one lifetime ago does not use its floor before then.
   */
  long reserved(Instant now, long floor) {
    expire(now);
    long units = isConfirmed(now) ? 0 : floor;
    for (Commitment commitment : commitments) {
      units = Math.max(units, commitment.units);
    }
    return units;
  }

  boolean isReporting(Instant now) {
    return now.isBefore(end(reportedAt));
  }

  boolean isForgettable(Instant now) {
    expire(now);
    return commitments.isEmpty() && !isReporting(now);
  }

  long demand() {
    return demand;
  }

  private boolean isConfirmed(Instant now) {
    return now.isBefore(end(confirmedAt));
  }

  private void expire(Instant now) {
    commitments.removeIf(commitment -> !now.isBefore(end(commitment.issuedAt)));
  }

  private static Instant end(Instant since) {
    return since.equals(Instant.MIN) ? since : since.plus(GrantTimes.LIFETIME);
  }

  private record Commitment(long answer, Instant issuedAt, long units) {}
}
