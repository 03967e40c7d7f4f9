package org.mimosacleat.standin.platform;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.vmlist.VmListing;
import org.mimosacleat.store.vmlist.VmList;

/**
 * A list of VMs in memory that shows each listing only after a lag; other faults are switched by
 * {@link Faults}.
 */
public final class FakeVmList implements VmList {
  private final Faults faults;
  private final InstantSource clock;
  private final AtomicReference<List<VmListing>> history;
  private final AtomicReference<Duration> lag = new AtomicReference<>(Duration.ZERO);

  /** Starts with a listing that shows at once. */
  public FakeVmList(Faults faults, InstantSource clock, VmListing first) {
    this.faults = faults;
    this.clock = clock;
    this.history = new AtomicReference<>(List.of(first));
  }

  /** Writes a listing; it shows once its time of writing is as old as the lag. */
  public void write(VmListing listing) {
    history.updateAndGet(
        before -> {
          List<VmListing> after = new ArrayList<>(before);
          after.add(listing);
          return List.copyOf(after);
        });
  }

  /** Sets how old a listing must be to show. */
  public void setLag(Duration changed) {
    lag.set(changed);
  }

  @Override
  public Either<Failure, VmListing> read(Duration timeout) {
    Optional<VmListing> listing = faults.read(this::shown, timeout);
    return listing
        .<Either<Failure, VmListing>>map(Either::right)
        .orElseGet(
            () ->
                Either.left(new Failure(ErrorKind.UNAVAILABLE, "the list of VMs does not answer")));
  }

  private VmListing shown() {
    List<VmListing> listings = history.get();
    Instant newest = clock.instant().minus(lag.get());
    return listings.reversed().stream()
        .filter(listing -> !listing.writtenAt().isAfter(newest))
        .findFirst()
        .orElse(listings.getFirst());
  }
}
