package org.mimosacleat.store.vmlist;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.settings.SettingsProblem;
import org.mimosacleat.core.vmlist.VmListing;
import org.mimosacleat.store.object.EntityTag;
import org.mimosacleat.store.object.ObjectKey;
import org.mimosacleat.store.object.ObjectRead;
import org.mimosacleat.store.object.ObjectStore;
import org.mimosacleat.store.object.StoredObject;

/**
 * Reads the VM list from an object that the platform writes. The last list is cached, so that a
 * poll of an unchanged list transfers only an entity tag.
 */
public final class ObjectVmList implements VmList {
  /** The key of the object that the platform writes. */
  public static final ObjectKey KEY = new ObjectKey("platform/vms.ini");

  private final ObjectStore store;
  private final AtomicReference<Optional<CachedListing>> cached =
      new AtomicReference<>(Optional.empty());

  /** Creates a VM list that is read from {@code store}. */
  public ObjectVmList(ObjectStore store) {
    this.store = store;
  }

  private record CachedListing(EntityTag tag, VmListing listing) {}

  @Override
  public Either<Failure, VmListing> read(Duration timeout) {
    Optional<CachedListing> previous = cached.get();
    return store
        .get(KEY, previous.map(CachedListing::tag), timeout)
        .flatMap(read -> toListing(read, previous));
  }

  private Either<Failure, VmListing> toListing(ObjectRead read, Optional<CachedListing> previous) {
    return switch (read) {
      case ObjectRead.Found(StoredObject object) -> parseAndCache(object);
      case ObjectRead.NotModified _ when previous.isPresent() ->
          Either.right(previous.get().listing());
      case ObjectRead.NotModified _ ->
          Either.left(unavailable("VM list reported as not modified, but no list is cached"));
      case ObjectRead.Missing _ -> Either.left(unavailable("VM list not found: no object " + KEY));
    };
  }

  private Either<Failure, VmListing> parseAndCache(StoredObject object) {
    return VmListText.parse(object.text())
        .peek(listing -> cached.set(Optional.of(new CachedListing(object.tag(), listing))))
        .mapLeft(ObjectVmList::malformed);
  }

  private static Failure malformed(List<SettingsProblem> problems) {
    return new Failure(ErrorKind.INVALID_SETTING, KEY + ": " + problems.getFirst().message());
  }

  private static Failure unavailable(String detail) {
    return new Failure(ErrorKind.UNAVAILABLE, detail);
  }
}
