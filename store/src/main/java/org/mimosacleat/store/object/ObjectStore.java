package org.mimosacleat.store.object;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.error.Failure;

/**
 * The platform's object store. Calls block until their timeout at the latest, so make them on a
 * virtual thread.
 */
public interface ObjectStore {
  /**
   * Reads one object.
   *
   * @param known the tag of the content that the reader already has; if the object still has it,
   *     the content is not returned
   */
  Either<Failure, ObjectRead> get(ObjectKey key, Optional<EntityTag> known, Duration timeout);

  /** Writes one object if its condition is met. */
  PutResult put(ObjectPut put, Duration timeout);

  /**
   * Returns keys in ascending order.
   *
   * @param prefix the prefix of the keys
   * @param after only keys greater than this text are returned; empty for all
   */
  Either<Failure, List<ObjectKey>> list(String prefix, String after, Duration timeout);
}
