package org.mimosacleat.serving.feed;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.serving.version.StoreVersion;

/**
 * An immutable state of {@link ConfigurationFreshness}.
 *
 * @param applied the version of the operator's table that is applied; empty before the first
 * @param currentAt the latest moment at which the applied configuration was known to be current
 * @param pending statements of peers about versions that are not applied yet, oldest first
 */
record FreshnessState(
    Optional<StoreVersion> applied, Optional<ClockReading> currentAt, List<Voucher> pending) {
  static final FreshnessState UNKNOWN =
      new FreshnessState(Optional.empty(), Optional.empty(), List.of());

  /** Enough for the questions of some seconds; a dropped statement makes the proof only older. */
  private static final int MAX_PENDING = 8;

  boolean hasApplied(StoreVersion version) {
    return applied
        .map(known -> known.era().equals(version.era()) && !version.isAfter(known))
        .orElse(false);
  }

  private boolean isOfEarlierEra(StoreVersion version) {
    return applied.map(known -> known.era().isAfter(version.era())).orElse(false);
  }

  /** Records an applied version; the statements that waited for it count from now on. */
  FreshnessState withApplied(StoreVersion version, ClockReading now) {
    if (hasApplied(version) || isOfEarlierEra(version)) {
      return this;
    }
    FreshnessState next = new FreshnessState(Optional.of(version), currentAt, List.of());
    List<Voucher> waiting = new ArrayList<>();
    for (Voucher voucher : pending) {
      if (voucher.isCoveredBy(version)) {
        next = next.withProof(voucher.currentAt(), now);
      } else if (!next.isOfEarlierEra(voucher.version())) {
        waiting.add(voucher);
      }
    }
    return new FreshnessState(next.applied, next.currentAt, List.copyOf(waiting));
  }

  /** Records a moment at which the applied version was current; an earlier one changes nothing. */
  private FreshnessState withProof(ClockReading moment, ClockReading now) {
    boolean later =
        currentAt
            .map(known -> moment.elapsedAt(now).compareTo(known.elapsedAt(now)) < 0)
            .orElse(true);
    return later ? new FreshnessState(applied, Optional.of(moment), pending) : this;
  }

  /** Records an answer of the store whose rows are applied. */
  FreshnessState withAnswer(ClockReading askedAt, StoreVersion version, ClockReading now) {
    if (isOfEarlierEra(version)) {
      return this;
    }
    return withApplied(version, now).withProof(askedAt, now);
  }

  /** Records the statement of a peer, which waits until its version is applied. */
  FreshnessState withVoucher(Voucher voucher, ClockReading now) {
    if (hasApplied(voucher.version())) {
      return withProof(voucher.currentAt(), now);
    }
    if (isOfEarlierEra(voucher.version())) {
      return this;
    }
    List<Voucher> waiting = new ArrayList<>(pending);
    if (waiting.size() >= MAX_PENDING) {
      waiting.removeFirst();
    }
    waiting.add(voucher);
    return new FreshnessState(applied, currentAt, List.copyOf(waiting));
  }
}
