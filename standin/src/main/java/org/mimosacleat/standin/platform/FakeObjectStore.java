package org.mimosacleat.standin.platform;

import io.vavr.collection.TreeMap;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.store.object.EntityTag;
import org.mimosacleat.store.object.ObjectKey;
import org.mimosacleat.store.object.ObjectPut;
import org.mimosacleat.store.object.ObjectRead;
import org.mimosacleat.store.object.ObjectStore;
import org.mimosacleat.store.object.PutResult;
import org.mimosacleat.store.object.StoredObject;

/** An in-memory object store with faults injected by {@link FaultInjector}. */
public final class FakeObjectStore implements ObjectStore {
  private final FaultInjector faults;
  private final AtomicReference<TreeMap<ObjectKey, StoredObject>> objects =
      new AtomicReference<>(TreeMap.empty());

  /** Creates an empty object store. */
  public FakeObjectStore(FaultInjector faults) {
    this.faults = faults;
  }

  @Override
  public Either<Failure, ObjectRead> get(
      ObjectKey key, Optional<EntityTag> known, Duration timeout) {
    return orUnavailable(faults.read(() -> read(key, known), timeout));
  }

  @Override
  public PutResult put(ObjectPut put, Duration timeout) {
    return faults.write(() -> apply(put), timeout).orElseGet(FakeObjectStore::unknown);
  }

  @Override
  public Either<Failure, List<ObjectKey>> list(String prefix, String after, Duration timeout) {
    return orUnavailable(faults.read(() -> keys(prefix, after), timeout));
  }

  private ObjectRead read(ObjectKey key, Optional<EntityTag> known) {
    Optional<StoredObject> object = objects.get().get(key).toJavaOptional();
    if (object.isEmpty()) {
      return new ObjectRead.Missing();
    }
    boolean notModified = known.isPresent() && known.get().equals(object.get().tag());
    return notModified ? new ObjectRead.NotModified() : new ObjectRead.Found(object.get());
  }

  private PutResult apply(ObjectPut put) {
    // Entity tags are quoted in HTTP. The write id is unique, so it can identify the content.
    EntityTag tag = new EntityTag('"' + put.id().value() + '"');
    StoredObject object = new StoredObject(put.key(), tag, put.id(), put.text());
    while (true) {
      TreeMap<ObjectKey, StoredObject> before = objects.get();
      if (!put.condition().holdsFor(before.get(put.key()).toJavaOptional())) {
        return new PutResult.ConditionFailed();
      }
      if (objects.compareAndSet(before, before.put(put.key(), object))) {
        return new PutResult.Stored(tag);
      }
    }
  }

  private List<ObjectKey> keys(String prefix, String after) {
    return objects
        .get()
        .keySet()
        .filter(key -> key.value().startsWith(prefix) && key.value().compareTo(after) > 0)
        .toJavaList();
  }

  private static <T> Either<Failure, T> orUnavailable(Optional<T> result) {
    return result
        .<Either<Failure, T>>map(Either::right)
        .orElseGet(
            () ->
                Either.left(
                    new Failure(ErrorKind.UNAVAILABLE, "object store did not answer a read")));
  }

  private static PutResult unknown() {
    return new PutResult.Unknown(
        new Failure(ErrorKind.CONNECTION_LOST, "object store did not answer a put"));
  }
}
