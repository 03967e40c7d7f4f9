package org.mimosacleat.store.table;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.store.pacing.WriteId;
import org.mimosacleat.store.table.WriteResult.Applied;
import org.mimosacleat.store.table.WriteResult.ConditionFailed;
import org.mimosacleat.store.table.WriteResult.Unknown;

/**
 * Finds out what became of a write whose answer was lost, within the timeout of the call. Wrap any
 * table service in it.
 *
 * <p>A write with an unknown outcome is sent once more with the same write id and condition, so
 * that at most one of the two can take effect, also if the first is still on its way. A condition
 * that then fails is settled by reading the row: the writer's own id in it means that the first
 * attempt took effect. If others wrote the row more than once since, nothing can be told and the
 * outcome stays unknown. A delete counts as applied when the row is gone.
 */
public final class SettlingTableService implements TableService {
  private final TableService store;
  private final InstantSource clock;

  /** Settles the lost answers of {@code store}. */
  public SettlingTableService(TableService store, InstantSource clock) {
    this.store = store;
    this.clock = clock;
  }

  @Override
  public Either<Failure, Optional<Row>> get(RowKey key, Duration timeout) {
    return store.get(key, timeout);
  }

  @Override
  public Either<Failure, List<Row>> list(String kind, Duration timeout) {
    return store.list(kind, timeout);
  }

  @Override
  public WriteResult write(RowWrite write, Duration timeout) {
    return transact(List.of(write), timeout);
  }

  @Override
  public WriteResult transact(List<RowWrite> writes, Duration timeout) {
    Instant deadline = clock.instant().plus(timeout);
    Duration firstTimeout = timeout.dividedBy(2);
    WriteResult first = send(writes, firstTimeout);
    if (!(first instanceof Unknown unknown)) {
      return first;
    }
    Duration left = Duration.between(clock.instant(), deadline);
    if (!left.isPositive()) {
      return unknown;
    }
    WriteResult second = send(writes, left);
    return switch (second) {
      case Applied applied -> applied;
      case ConditionFailed _ -> readBack(writes, deadline, unknown);
      case WriteResult.NotSent _, Unknown _ -> unknown;
    };
  }

  private WriteResult send(List<RowWrite> writes, Duration timeout) {
    return writes.size() == 1
        ? store.write(writes.getFirst(), timeout)
        : store.transact(writes, timeout);
  }

  private WriteResult readBack(List<RowWrite> writes, Instant deadline, Unknown unknown) {
    Optional<RowWrite> telling = tellingWrite(writes);
    if (telling.isEmpty()) {
      return new ConditionFailed();
    }
    Duration left = Duration.between(clock.instant(), deadline);
    if (!left.isPositive()) {
      return unknown;
    }
    return store
        .get(telling.get().key(), left)
        .fold(_ -> unknown, row -> judge(telling.get(), row, unknown));
  }

  /** Prefers a put, since its id stays in the row; a delete leaves nothing but absence. */
  private static Optional<RowWrite> tellingWrite(List<RowWrite> writes) {
    Optional<RowWrite> put = writes.stream().filter(RowWrite.Put.class::isInstance).findFirst();
    return put.or(() -> writes.stream().filter(RowWrite.Delete.class::isInstance).findFirst());
  }

  private static WriteResult judge(RowWrite write, Optional<Row> row, Unknown unknown) {
    return switch (write) {
      case RowWrite.Put put -> judgePut(put, row, unknown);
      case RowWrite.Delete _ -> row.isEmpty() ? new Applied() : new ConditionFailed();
      case RowWrite.Check _ -> new ConditionFailed();
    };
  }

  private static WriteResult judgePut(RowWrite.Put put, Optional<Row> row, Unknown unknown) {
    WriteId writer = row.map(Row::writer).orElse(null);
    if (put.id().equals(writer)) {
      return new Applied();
    }
    boolean untouched = put.condition().holdsFor(row);
    boolean lostToAnother = row.isPresent() && row.get().version() == put.condition().nextVersion();
    return untouched || lostToAnother ? new ConditionFailed() : unknown;
  }
}
