package org.mimosacleat.store.object;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.store.object.PutResult.ConditionFailed;
import org.mimosacleat.store.object.PutResult.Stored;
import org.mimosacleat.store.object.PutResult.Unknown;

/**
 * Resolves the outcome of a put whose answer was lost, within the timeout of the call. Works with
 * any object store.
 *
 * <p>A put with an unknown outcome is sent once more with the same write id and condition. If the
 * condition of the second attempt fails, the object is read: if it holds the id of this write, the
 * first attempt took effect. The outcome of a put of a new object is always resolved in this way,
 * provided that objects are never deleted. The outcome of a replacement stays unknown if another
 * write has replaced the object since.
 */
public final class OutcomeResolvingObjectStore implements ObjectStore {
  private final ObjectStore store;
  private final InstantSource clock;

  /** Creates an object store that resolves the unknown outcomes of {@code store}. */
  public OutcomeResolvingObjectStore(ObjectStore store, InstantSource clock) {
    this.store = store;
    this.clock = clock;
  }

  @Override
  public Either<Failure, ObjectRead> get(
      ObjectKey key, Optional<EntityTag> known, Duration timeout) {
    return store.get(key, known, timeout);
  }

  @Override
  public Either<Failure, List<ObjectKey>> list(String prefix, String after, Duration timeout) {
    return store.list(prefix, after, timeout);
  }

  @Override
  public PutResult put(ObjectPut put, Duration timeout) {
    Instant deadline = clock.instant().plus(timeout);
    PutResult first = store.put(put, timeout.dividedBy(2));
    if (!(first instanceof Unknown unknown)) {
      return first;
    }
    Duration remaining = Duration.between(clock.instant(), deadline);
    if (!remaining.isPositive()) {
      return unknown;
    }
    return switch (store.put(put, remaining)) {
      case Stored stored -> stored;
      case ConditionFailed _ -> readBack(put, deadline, unknown);
      case PutResult.NotSent _, Unknown _ -> unknown;
    };
  }

  private PutResult readBack(ObjectPut put, Instant deadline, Unknown unknown) {
    Duration remaining = Duration.between(clock.instant(), deadline);
    if (!remaining.isPositive()) {
      return unknown;
    }
    return store
        .get(put.key(), Optional.empty(), remaining)
        .fold(_ -> unknown, read -> resolve(put, read, unknown));
  }

  private static PutResult resolve(ObjectPut put, ObjectRead read, Unknown unknown) {
    if (!(read instanceof ObjectRead.Found(StoredObject object))) {
      return unknown;
    }
    if (object.writer().equals(put.id())) {
      return new Stored(object.tag());
    }
    boolean createsObject = put.condition() instanceof PutCondition.Absent;
    return createsObject ? new ConditionFailed() : unknown;
  }
}
