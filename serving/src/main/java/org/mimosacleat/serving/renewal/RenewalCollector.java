package org.mimosacleat.serving.renewal;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.mimosacleat.core.time.Sleeper;
import org.mimosacleat.serving.promotion.LeaseRenewal;
import org.mimosacleat.serving.promotion.RecordFailure;
import org.mimosacleat.serving.promotion.SharedRecords;
import org.mimosacleat.serving.version.StoreEras;
import org.mimosacleat.serving.version.StoreVersion;
import org.tinylog.Logger;

/**
 * Collects lease renewals for a short time and writes them in one transaction, which writes all or
 * none of them.
 */
public final class RenewalCollector {
  /** How long renewals are collected after the first one. */
  static final Duration WINDOW = Duration.ofMillis(300);

  /** The store admits 100 entries in one transaction. */
  static final int MAX_ENTRIES = 90;

  /**
   * A batch that is older when it could be sent, as after a suspension of the machine, is not sent:
   * its askers have renewed by calls of their own, or are about to.
   */
  static final Duration MAX_AGE = Duration.ofMillis(700);

  private final SharedRecords records;
  private final StoreEras eras;
  private final InstantSource clock;
  private final InstantSource wallClock;
  private final Executor executor;
  private final Sleeper sleeper;
  private Optional<RenewalBatch> open = Optional.empty();

  /**
   * Creates a collector without renewals.
   *
   * @param eras the eras of the store that keeps the records
   * @param clock the monotonic clock
   * @param wallClock a clock that continues to run while the machine is suspended
   * @param executor runs tasks that may block
   */
  public RenewalCollector(
      SharedRecords records,
      StoreEras eras,
      InstantSource clock,
      InstantSource wallClock,
      Executor executor,
      Sleeper sleeper) {
    this.records = records;
    this.eras = eras;
    this.clock = clock;
    this.wallClock = wallClock;
    this.executor = executor;
    this.sleeper = sleeper;
  }

  /**
   * Adds a renewal to the next batch.
   *
   * @return the answer once the batch was written: the new version of the record; {@link
   *     RecordFailure#UNCERTAIN} if it may have been written, any other failure if it was not
   */
  public CompletableFuture<Either<RecordFailure, StoreVersion>> submit(LeaseRenewal renewal) {
    CompletableFuture<Either<RecordFailure, StoreVersion>> answer = new CompletableFuture<>();
    if (!renewal.expected().era().equals(eras.current())) {
      answer.complete(Either.left(RecordFailure.CONFLICT));
      return answer;
    }
    add(new RenewalBatch.Pending(renewal, answer)).ifPresent(executor::execute);
    return answer;
  }

  /** Adds a renewal and returns the task that it causes, if any. */
  private synchronized Optional<Runnable> add(RenewalBatch.Pending pending) {
    final boolean first = open.isEmpty();
    RenewalBatch batch =
        open.orElseGet(() -> new RenewalBatch(clock.instant(), wallClock.instant()));
    open = Optional.of(batch);
    batch
        .add(pending)
        .ifPresent(outdated -> outdated.answer().complete(Either.left(RecordFailure.NOT_DONE)));
    if (batch.size() >= MAX_ENTRIES) {
      open = Optional.empty();
      return Optional.of(() -> write(batch));
    }
    return first ? Optional.of(() -> writeAfterWindow(batch)) : Optional.empty();
  }

  private void writeAfterWindow(RenewalBatch batch) {
    sleeper.sleep(WINDOW);
    write(batch);
  }

  private void write(RenewalBatch batch) {
    if (!close(batch)) {
      return;
    }
    if (isOutdated(batch)) {
      Logger.warn("{} collected lease renewals are too old and not written", batch.size());
      batch.answerAll(Either.left(RecordFailure.NOT_DONE));
      return;
    }
    batch.answerAll(records.renewProxies(batch.renewals()));
  }

  /** Ends the collection; returns false if the batch has been taken before. */
  private synchronized boolean close(RenewalBatch batch) {
    open = open.filter(current -> current != batch);
    return batch.take();
  }

  private boolean isOutdated(RenewalBatch batch) {
    return hasPassed(batch.openedAt(), clock.instant())
        || hasPassed(batch.openedAtWallTime(), wallClock.instant());
  }

  private static boolean hasPassed(Instant openedAt, Instant now) {
    return Duration.between(openedAt, now).compareTo(MAX_AGE) > 0;
  }
}
