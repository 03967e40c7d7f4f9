package org.mimosacleat.serving.renewal;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.promotion.LeaseRenewal;
import org.mimosacleat.serving.promotion.RecordFailure;
import org.mimosacleat.serving.version.StoreVersion;

/** Renewals that are written together, one for each proxy; changed under the collector's lock. */
final class RenewalBatch {
  private final Instant openedAt;
  private final Instant openedAtWallTime;
  private final Map<VmId, Pending> entries = new LinkedHashMap<>();
  private final AtomicBoolean taken = new AtomicBoolean();

  RenewalBatch(Instant openedAt, Instant openedAtWallTime) {
    this.openedAt = openedAt;
    this.openedAtWallTime = openedAtWallTime;
  }

  Instant openedAt() {
    return openedAt;
  }

  Instant openedAtWallTime() {
    return openedAtWallTime;
  }

  /** Adds a renewal; returns the earlier one of the same proxy, which is outdated. */
  Optional<Pending> add(Pending pending) {
    return Optional.ofNullable(entries.put(pending.renewal().record().proxy(), pending));
  }

  int size() {
    return entries.size();
  }

  /** Returns true to the first caller only, which has to write the batch. */
  boolean take() {
    return taken.compareAndSet(false, true);
  }

  List<LeaseRenewal> renewals() {
    return entries.values().stream().map(Pending::renewal).toList();
  }

  void answerAll(Either<RecordFailure, StoreVersion> answer) {
    entries.values().forEach(pending -> pending.answer().complete(answer));
  }

  /**
   * A renewal that waits for its answer.
   *
   * @param renewal the renewal
   * @param answer completed once
   */
  record Pending(
      LeaseRenewal renewal, CompletableFuture<Either<RecordFailure, StoreVersion>> answer) {}
}
