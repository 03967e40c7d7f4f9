package org.mimosacleat.store.table;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.store.pacing.StorePacer;

/** Sends each call to a table service when the pacer lets it, and reports how it went. */
public final class PacedTableService implements TableService {
  private final TableService store;
  private final StorePacer pacer;

  /** Paces the calls to {@code store}. */
  public PacedTableService(TableService store, StorePacer pacer) {
    this.store = store;
    this.pacer = pacer;
  }

  @Override
  public Either<Failure, Optional<Row>> get(RowKey key, Duration timeout) {
    return read(left -> store.get(key, left), timeout);
  }

  @Override
  public Either<Failure, List<Row>> list(String kind, Duration timeout) {
    return read(left -> store.list(kind, left), timeout);
  }

  @Override
  public WriteResult write(RowWrite write, Duration timeout) {
    return send(left -> store.write(write, left), timeout);
  }

  @Override
  public WriteResult transact(List<RowWrite> writes, Duration timeout) {
    return send(left -> store.transact(writes, left), timeout);
  }

  private <T> Either<Failure, T> read(
      Function<Duration, Either<Failure, T>> call, Duration timeout) {
    Optional<Duration> left = pacer.await(timeout);
    if (left.isEmpty()) {
      return Either.left(tooLate());
    }
    Either<Failure, T> answer = call.apply(left.get());
    pacer.report(answer.isRight());
    return answer;
  }

  private WriteResult send(Function<Duration, WriteResult> call, Duration timeout) {
    Optional<Duration> left = pacer.await(timeout);
    if (left.isEmpty()) {
      return new WriteResult.NotSent(tooLate());
    }
    WriteResult result = call.apply(left.get());
    pacer.report(
        switch (result) {
          case WriteResult.Applied _, WriteResult.ConditionFailed _ -> true;
          case WriteResult.NotSent _, WriteResult.Unknown _ -> false;
        });
    return result;
  }

  private static Failure tooLate() {
    return new Failure(ErrorKind.UNAVAILABLE, "the table service may not be asked again yet");
  }
}
