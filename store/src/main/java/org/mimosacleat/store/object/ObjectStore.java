package org.mimosacleat.store.object;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.error.Failure;

/**
 * The platform's object store. Calls block, so make them on a virtual thread; each ends by its
 * timeout.
 */
public interface ObjectStore {
  /**
   * Reads one object.
   *
   * @param known the tag of the content that the reader has; the same content is not sent again
   */
  Either<Failure, ObjectRead> get(ObjectKey key, Optional<EntityTag> known, Duration timeout);

  /** Writes one object if its condition holds. */
  PutResult put(ObjectPut put, Duration timeout);

  /**
   * Lists keys in their order.
   *
   * @param prefix how the keys start
   * @param after only keys that come after this text; empty for all
   */
  Either<Failure, List<ObjectKey>> list(String prefix, String after, Duration timeout);
}
