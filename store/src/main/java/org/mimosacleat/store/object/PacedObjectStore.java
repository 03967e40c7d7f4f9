package org.mimosacleat.store.object;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.store.pacing.StorePacer;

/** Sends each call to an object store when the pacer lets it, and reports how it went. */
public final class PacedObjectStore implements ObjectStore {
  private final ObjectStore store;
  private final StorePacer pacer;

  /** Paces the calls to {@code store}. */
  public PacedObjectStore(ObjectStore store, StorePacer pacer) {
    this.store = store;
    this.pacer = pacer;
  }

  @Override
  public Either<Failure, ObjectRead> get(
      ObjectKey key, Optional<EntityTag> known, Duration timeout) {
    return read(left -> store.get(key, known, left), timeout);
  }

  @Override
  public Either<Failure, List<ObjectKey>> list(String prefix, String after, Duration timeout) {
    return read(left -> store.list(prefix, after, left), timeout);
  }

  @Override
  public PutResult put(ObjectPut put, Duration timeout) {
    Optional<Duration> left = pacer.await(timeout);
    if (left.isEmpty()) {
      return new PutResult.NotSent(tooLate());
    }
    PutResult result = store.put(put, left.get());
    pacer.report(
        switch (result) {
          case PutResult.Stored _, PutResult.ConditionFailed _ -> true;
          case PutResult.NotSent _, PutResult.Unknown _ -> false;
        });
    return result;
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

  private static Failure tooLate() {
    return new Failure(ErrorKind.UNAVAILABLE, "the object store may not be asked again yet");
  }
}
