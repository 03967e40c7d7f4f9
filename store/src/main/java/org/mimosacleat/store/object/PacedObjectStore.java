package org.mimosacleat.store.object;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.store.pacing.StorePacer;

/**
 * Delays each call to an object store until the pacer admits it, and reports the result to the
 * pacer.
 */
public final class PacedObjectStore implements ObjectStore {
  private final ObjectStore store;
  private final StorePacer pacer;

  /** Creates an object store that paces the calls to {@code store}. */
  public PacedObjectStore(ObjectStore store, StorePacer pacer) {
    this.store = store;
    this.pacer = pacer;
  }

  @Override
  public Either<Failure, ObjectRead> get(
      ObjectKey key, Optional<EntityTag> known, Duration timeout) {
    return read(remaining -> store.get(key, known, remaining), timeout);
  }

  @Override
  public Either<Failure, List<ObjectKey>> list(String prefix, String after, Duration timeout) {
    return read(remaining -> store.list(prefix, after, remaining), timeout);
  }

  @Override
  public PutResult put(ObjectPut put, Duration timeout) {
    Optional<Duration> remaining = pacer.await(timeout);
    if (remaining.isEmpty()) {
      return new PutResult.NotSent(notAdmitted());
    }
    PutResult result = store.put(put, remaining.get());
    pacer.report(
        switch (result) {
          case PutResult.Stored _, PutResult.ConditionFailed _ -> true;
          case PutResult.NotSent _, PutResult.Unknown _ -> false;
        });
    return result;
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

  private static Failure notAdmitted() {
    return new Failure(
        ErrorKind.UNAVAILABLE,
        "request to the object store not sent: not admitted by the rate limit in time");
  }
}
