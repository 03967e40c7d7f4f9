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
 * Reads the list of VMs from an object that the platform writes. It remembers the last content, so
 * that polling an unchanged list moves no more than an entity tag.
 */
public final class ObjectVmList implements VmList {
  /** The object that the platform writes. */
  public static final ObjectKey KEY = new ObjectKey("platform/vms.ini");

  private final ObjectStore store;
  private final AtomicReference<Optional<Known>> known = new AtomicReference<>(Optional.empty());

  /** Reads from {@code store}. */
  public ObjectVmList(ObjectStore store) {
    this.store = store;
  }

  private record Known(EntityTag tag, VmListing listing) {}

  @Override
  public Either<Failure, VmListing> read(Duration timeout) {
    Optional<Known> before = known.get();
    return store.get(KEY, before.map(Known::tag), timeout).flatMap(read -> interpret(read, before));
  }

  private Either<Failure, VmListing> interpret(ObjectRead read, Optional<Known> before) {
    return switch (read) {
      case ObjectRead.Found(StoredObject object) -> remember(object);
      case ObjectRead.NotModified _ when before.isPresent() -> Either.right(before.get().listing());
      case ObjectRead.NotModified _ -> Either.left(unavailable("the store sent no list of VMs"));
      case ObjectRead.Missing _ -> Either.left(unavailable("there is no object " + KEY));
    };
  }

  private Either<Failure, VmListing> remember(StoredObject object) {
    return VmListText.parse(object.text())
        .peek(listing -> known.set(Optional.of(new Known(object.tag(), listing))))
        .mapLeft(ObjectVmList::malformed);
  }

  private static Failure malformed(List<SettingsProblem> problems) {
    return new Failure(ErrorKind.INVALID_SETTING, KEY + ": " + problems.getFirst().message());
  }

  private static Failure unavailable(String detail) {
    return new Failure(ErrorKind.UNAVAILABLE, detail);
  }
}
