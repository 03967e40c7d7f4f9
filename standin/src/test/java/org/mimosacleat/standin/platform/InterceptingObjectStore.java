package org.mimosacleat.standin.platform;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.store.object.EntityTag;
import org.mimosacleat.store.object.ObjectKey;
import org.mimosacleat.store.object.ObjectPut;
import org.mimosacleat.store.object.ObjectRead;
import org.mimosacleat.store.object.ObjectStore;
import org.mimosacleat.store.object.PutResult;

/** Runs an action before the first put, to simulate a concurrent edit. */
final class InterceptingObjectStore implements ObjectStore {
  private static final Runnable NO_ACTION = () -> {};

  private final ObjectStore store;
  private final AtomicReference<Runnable> beforePut;

  InterceptingObjectStore(ObjectStore store, Runnable beforeFirstPut) {
    this.store = store;
    this.beforePut = new AtomicReference<>(beforeFirstPut);
  }

  @Override
  public Either<Failure, ObjectRead> get(
      ObjectKey key, Optional<EntityTag> known, Duration timeout) {
    return store.get(key, known, timeout);
  }

  @Override
  public PutResult put(ObjectPut put, Duration timeout) {
    beforePut.getAndSet(NO_ACTION).run();
    return store.put(put, timeout);
  }

  @Override
  public Either<Failure, List<ObjectKey>> list(String prefix, String after, Duration timeout) {
    return store.list(prefix, after, timeout);
  }
}
