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
 * Resolves the outcome of a write whose answer was lost, within the timeout of the call. Works with
 * any table service.
 *
 * <p>A write with an unknown outcome is sent once more with the same write id and condition, so
 * that at most one of the two attempts can take effect, even if the first is still in transit. If
 * the condition of the second attempt fails, the row is read: if it holds the id of this write, the
 * first attempt took effect. If the row has been written by others more than once since, the
 * outcome stays unknown. A delete is reported as applied if the row does not exist.
 */
public final class OutcomeResolvingTableService implements TableService {
  private final TableService store;
  private final InstantSource clock;

  /** Creates a table service that resolves the unknown outcomes of {@code store}. */
  public OutcomeResolvingTableService(TableService store, InstantSource clock) {
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
    Duration remaining = Duration.between(clock.instant(), deadline);
    if (!remaining.isPositive()) {
      return unknown;
    }
    WriteResult second = send(writes, remaining);
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
    Optional<RowWrite> written = writeToReadBack(writes);
    if (written.isEmpty()) {
      return new ConditionFailed();
    }
    Duration remaining = Duration.between(clock.instant(), deadline);
    if (!remaining.isPositive()) {
      return unknown;
    }
    return store
        .get(written.get().key(), remaining)
        .fold(_ -> unknown, row -> resolve(written.get(), row, unknown));
  }

  /**
   * Prefers a put, because its id is stored in the row; a delete can only be recognized by absence.
   */
  private static Optional<RowWrite> writeToReadBack(List<RowWrite> writes) {
    Optional<RowWrite> put = writes.stream().filter(RowWrite.Put.class::isInstance).findFirst();
    return put.or(() -> writes.stream().filter(RowWrite.Delete.class::isInstance).findFirst());
  }

  private static WriteResult resolve(RowWrite write, Optional<Row> row, Unknown unknown) {
    return switch (write) {
      case RowWrite.Put put -> resolvePut(put, row, unknown);
      case RowWrite.Delete _ -> row.isEmpty() ? new Applied() : new ConditionFailed();
      case RowWrite.Check _ -> new ConditionFailed();
    };
  }

  private static WriteResult resolvePut(RowWrite.Put put, Optional<Row> row, Unknown unknown) {
    WriteId writer = row.map(Row::writer).orElse(null);
    if (put.id().equals(writer)) {
      return new Applied();
    }
    boolean unchanged = put.condition().holdsFor(row);
    boolean otherWriteApplied =
        row.isPresent() && row.get().version() == put.condition().nextVersion();
    return unchanged || otherWriteApplied ? new ConditionFailed() : unknown;
  }
}
