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
 * Finds out what became of a put whose answer was lost, within the timeout of the call. Wrap any
 * object store in it.
 *
 * <p>A put with an unknown outcome is sent once more with the same write id and condition. A
 * condition that then fails is settled by reading the object: the writer's own id in it means that
 * the first attempt took effect. A put of a new object is always settled so, as long as objects are
 * never deleted; a replacement that was itself replaced stays unknown.
 */
public final class SettlingObjectStore implements ObjectStore {
  private final ObjectStore store;
  private final InstantSource clock;

  /** Settles the lost answers of {@code store}. */
  public SettlingObjectStore(ObjectStore store, InstantSource clock) {
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
    Duration left = Duration.between(clock.instant(), deadline);
    if (!left.isPositive()) {
      return unknown;
    }
    return switch (store.put(put, left)) {
      case Stored stored -> stored;
      case ConditionFailed _ -> readBack(put, deadline, unknown);
      case PutResult.NotSent _, Unknown _ -> unknown;
    };
  }

  private PutResult readBack(ObjectPut put, Instant deadline, Unknown unknown) {
    Duration left = Duration.between(clock.instant(), deadline);
    if (!left.isPositive()) {
      return unknown;
    }
    return store
        .get(put.key(), Optional.empty(), left)
        .fold(_ -> unknown, read -> judge(put, read, unknown));
  }

  private static PutResult judge(ObjectPut put, ObjectRead read, Unknown unknown) {
    if (!(read instanceof ObjectRead.Found(StoredObject object))) {
      return unknown;
    }
    if (object.writer().equals(put.id())) {
      return new Stored(object.tag());
    }
    boolean created = put.condition() instanceof PutCondition.Absent;
    return created ? new ConditionFailed() : unknown;
  }
}
