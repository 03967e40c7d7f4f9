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
 * An in-memory VM list in which each new listing becomes visible only after a lag. Other faults are
 * injected by {@link FaultInjector}.
 */
public final class FakeVmList implements VmList {
  private final FaultInjector faults;
  private final InstantSource clock;
  private final AtomicReference<List<VmListing>> history;
  private final AtomicReference<Duration> lag = new AtomicReference<>(Duration.ZERO);

  /** Creates a VM list with a first listing that is visible immediately. */
  public FakeVmList(FaultInjector faults, InstantSource clock, VmListing first) {
    this.faults = faults;
    this.clock = clock;
    this.history = new AtomicReference<>(List.of(first));
  }

  /** Adds a listing; it becomes visible when its time of writing is at least the lag ago. */
  public void write(VmListing listing) {
    history.updateAndGet(
        before -> {
          List<VmListing> after = new ArrayList<>(before);
          after.add(listing);
          return List.copyOf(after);
        });
  }

  /** Sets the time from the writing of a listing until it becomes visible. */
  public void setLag(Duration newLag) {
    lag.set(newLag);
  }

  @Override
  public Either<Failure, VmListing> read(Duration timeout) {
    Optional<VmListing> listing = faults.read(this::visibleListing, timeout);
    return listing
        .<Either<Failure, VmListing>>map(Either::right)
        .orElseGet(
            () -> Either.left(new Failure(ErrorKind.UNAVAILABLE, "VM list did not answer a read")));
  }

  private VmListing visibleListing() {
    List<VmListing> listings = history.get();
    Instant visibleUntil = clock.instant().minus(lag.get());
    return listings.reversed().stream()
        .filter(listing -> !listing.writtenAt().isAfter(visibleUntil))
        .findFirst()
        .orElse(listings.getFirst());
  }
}
