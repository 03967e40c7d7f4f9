package org.mimosacleat.serving.promotion;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Term;
import org.tinylog.Logger;

/** Stops this proxy's use of a primary that is being replaced. */
final class PrimaryStop {
  /** Longer than a new connection and an answer take. */
  private static final Duration MAX_FENCING_WAIT = Duration.ofMillis(120);

  private final GroupId group;
  private final FailoverDependencies dependencies;
  private Optional<StopRecord> lastStop = Optional.empty();

  PrimaryStop(GroupId group, FailoverDependencies dependencies) {
    this.group = group;
    this.dependencies = dependencies;
  }

  /**
   * Stops using the primary that a claim replaces, once in each round, if this proxy may use it;
   * then records that in the store.
   *
   * @return false if the stop could not be recorded, so that it has to be tried again
   */
  boolean stopAndRecord(RecordedPrimary claim) {
    boolean recorded = lastStop.filter(stop -> stop.confirms(claim)).isPresent();
    if (!dependencies.access().mayBeRecorded(group) || recorded) {
      return true;
    }
    PrimaryRecord record = claim.record();
    boolean fenced = fenceOrAbandon(record);
    StopRecord stop =
        new StopRecord(group, dependencies.self(), claim.version().era(), record.round(), fenced);
    dependencies
        .sharedRecords()
        .writeStop(stop)
        .peek(_ -> lastStop = Optional.of(stop))
        .peekLeft(
            failure ->
                Logger.warn(
                    "{}: could not record the stop for round {}: {}; retrying",
                    group,
                    record.round(),
                    failure));
    Logger.info(
        "{}: stopped using the primary of term {}, fenced: {}", group, record.term(), fenced);
    return lastStop.equals(Optional.of(stop));
  }

  /**
   * Fences the primary; if that takes long or fails, closes all connections to it. The replacement
   * waits for this proxy, so a primary that can't be reached must not delay it; a fence that
   * succeeds later does no harm.
   *
   * @return whether the primary was fenced
   */
  boolean fenceOrAbandon(PrimaryRecord record) {
    Future<Boolean> fencing = dependencies.executor().submit(() -> fence(record));
    boolean fenced = isDoneInTime(fencing);
    if (!fenced) {
      record.primary().ifPresent(dependencies.pools()::closeAll);
    }
    return fenced;
  }

  private boolean isDoneInTime(Future<Boolean> fencing) {
    try {
      return fencing.get(MAX_FENCING_WAIT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException slow) {
      return false;
    } catch (ExecutionException failed) {
      throw new IllegalStateException("fencing a primary failed unexpectedly", failed);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private boolean fence(PrimaryRecord record) {
    Term next = record.term().next();
    return record
        .primary()
        .flatMap(dependencies::findEndpoint)
        .flatMap(entry -> dependencies.administration().fence(entry, next))
        .isPresent();
  }
}
