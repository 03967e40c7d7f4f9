package org.mimosacleat.store.table;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.store.pacing.StorePacer;

/**
 * Delays each call to a table service until the pacer admits it, and reports the result to the
 * pacer.
 */
public final class PacedTableService implements TableService {
  private final TableService store;
  private final StorePacer pacer;

  /** Creates a table service that paces the calls to {@code store}. */
  public PacedTableService(TableService store, StorePacer pacer) {
    this.store = store;
    this.pacer = pacer;
  }

  @Override
  public Either<Failure, Optional<Row>> get(RowKey key, Duration timeout) {
    return read(remaining -> store.get(key, remaining), timeout);
  }

  @Override
  public Either<Failure, List<Row>> list(String kind, Duration timeout) {
    return read(remaining -> store.list(kind, remaining), timeout);
  }

  @Override
  public WriteResult write(RowWrite write, Duration timeout) {
    return send(remaining -> store.write(write, remaining), timeout);
  }

  @Override
  public WriteResult transact(List<RowWrite> writes, Duration timeout) {
    return send(remaining -> store.transact(writes, remaining), timeout);
  }

  private <T> Either<Failure, T> read(
      Function<Duration, Either<Failure, T>> call, Duration timeout) {
    Optional<Duration> remaining = pacer.await(timeout);
    if (remaining.isEmpty()) {
      return Either.left(notAdmitted());
    }
    Either<Failure, T> answer = call.apply(remaining.get());
    pacer.report(answer.isRight());
    return answer;
  }

  private WriteResult send(Function<Duration, WriteResult> call, Duration timeout) {
    Optional<Duration> remaining = pacer.await(timeout);
    if (remaining.isEmpty()) {
      return new WriteResult.NotSent(notAdmitted());
    }
    WriteResult result = call.apply(remaining.get());
    pacer.report(
        switch (result) {
          case WriteResult.Applied _, WriteResult.ConditionFailed _ -> true;
          case WriteResult.NotSent _, WriteResult.Unknown _ -> false;
        });
    return result;
  }

  private static Failure notAdmitted() {
    return new Failure(
        ErrorKind.UNAVAILABLE,
        "request to the table service not sent: not admitted by the rate limit in time");
  }
}
