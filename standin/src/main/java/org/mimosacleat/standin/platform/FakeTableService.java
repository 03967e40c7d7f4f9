package org.mimosacleat.standin.platform;

import io.vavr.collection.TreeMap;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.store.table.Row;
import org.mimosacleat.store.table.RowKey;
import org.mimosacleat.store.table.RowWrite;
import org.mimosacleat.store.table.TableService;
import org.mimosacleat.store.table.WriteResult;

/** An in-memory table service with faults injected by {@link FaultInjector}. */
public final class FakeTableService implements TableService {
  private final FaultInjector faults;
  private final AtomicReference<TreeMap<RowKey, Row>> rows = new AtomicReference<>(TreeMap.empty());

  /** Creates an empty table. */
  public FakeTableService(FaultInjector faults) {
    this.faults = faults;
  }

  @Override
  public Either<Failure, Optional<Row>> get(RowKey key, Duration timeout) {
    return orUnavailable(faults.read(() -> rows.get().get(key).toJavaOptional(), timeout));
  }

  @Override
  public Either<Failure, List<Row>> list(String kind, Duration timeout) {
    return orUnavailable(faults.read(() -> rowsOf(kind), timeout));
  }

  @Override
  public WriteResult write(RowWrite write, Duration timeout) {
    return transact(List.of(write), timeout);
  }

  @Override
  public WriteResult transact(List<RowWrite> writes, Duration timeout) {
    return faults.write(() -> apply(writes), timeout).orElseGet(FakeTableService::unknown);
  }

  private List<Row> rowsOf(String kind) {
    return rows.get().values().filter(row -> row.key().kind().equals(kind)).toJavaList();
  }

  private WriteResult apply(List<RowWrite> writes) {
    while (true) {
      TreeMap<RowKey, Row> before = rows.get();
      boolean allHold = writes.stream().allMatch(write -> holds(write, before));
      if (!allHold) {
        return new WriteResult.ConditionFailed();
      }
      TreeMap<RowKey, Row> after = before;
      for (RowWrite write : writes) {
        after = applyWrite(write, after);
      }
      if (rows.compareAndSet(before, after)) {
        return new WriteResult.Applied();
      }
    }
  }

  private static boolean holds(RowWrite write, TreeMap<RowKey, Row> rows) {
    return write.condition().holdsFor(rows.get(write.key()).toJavaOptional());
  }

  private static TreeMap<RowKey, Row> applyWrite(RowWrite write, TreeMap<RowKey, Row> rows) {
    return switch (write) {
      case RowWrite.Put put -> rows.put(put.key(), put.row());
      case RowWrite.Delete delete -> rows.remove(delete.key());
      case RowWrite.Check _ -> rows;
    };
  }

  private static <T> Either<Failure, T> orUnavailable(Optional<T> result) {
    return result
        .<Either<Failure, T>>map(Either::right)
        .orElseGet(
            () ->
                Either.left(
                    new Failure(ErrorKind.UNAVAILABLE, "table service did not answer a read")));
  }

  private static WriteResult unknown() {
    return new WriteResult.Unknown(
        new Failure(ErrorKind.CONNECTION_LOST, "table service did not answer a write"));
  }
}
