package org.mimosacleat.serving.renewal;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.promotion.LeaseRenewal;
import org.mimosacleat.serving.promotion.RecordFailure;
import org.mimosacleat.serving.version.StoreVersion;

/**
 * Passes renewals of this proxy to the proxy whose store feeds it follows. A proxy that others
 * follow adds its own renewal to theirs.
 */
public final class ZoneRenewals implements BatchedRenewals {
  /** In smaller fleets the renewals are few calls. */
  public static final int MIN_FLEET_SIZE = 30;

  /** The collection window and a normal call to the store, with a margin. */
  public static final Duration ANSWER_TIMEOUT = Duration.ofMillis(800);

  private final IntSupplier fleetSize;
  private final Supplier<Optional<VmId>> publisher;
  private final BooleanSupplier isFollowed;
  private final RenewalPeers peers;
  private final RenewalCollector collector;
  private final InstantSource clock;

  /**
   * Creates renewals of one proxy.
   *
   * @param fleetSize the number of proxies that hold a lease
   * @param publisher the proxy whose feeds this one follows and finds fresh, if any
   * @param isFollowed whether other proxies follow this one
   * @param collector collects the renewals of the proxies that follow this one
   * @param clock the monotonic clock
   */
  public ZoneRenewals(
      IntSupplier fleetSize,
      Supplier<Optional<VmId>> publisher,
      BooleanSupplier isFollowed,
      RenewalPeers peers,
      RenewalCollector collector,
      InstantSource clock) {
    this.fleetSize = fleetSize;
    this.publisher = publisher;
    this.isFollowed = isFollowed;
    this.peers = peers;
    this.collector = collector;
    this.clock = clock;
  }

  @Override
  public boolean isActive() {
    return fleetSize.getAsInt() >= MIN_FLEET_SIZE;
  }

  @Override
  public Either<RecordFailure, StoreVersion> renew(LeaseRenewal renewal) {
    if (!isActive()) {
      return Either.left(RecordFailure.NOT_DONE);
    }
    Optional<VmId> followed = publisher.get();
    if (followed.isPresent()) {
      return peers.requestRenewal(followed.get(), renewal, clock.instant().plus(ANSWER_TIMEOUT));
    }
    return isFollowed.getAsBoolean()
        ? await(collector.submit(renewal))
        : Either.left(RecordFailure.NOT_DONE);
  }

  private static Either<RecordFailure, StoreVersion> await(
      CompletableFuture<Either<RecordFailure, StoreVersion>> answer) {
    try {
      return answer.get(ANSWER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException noAnswer) {
      return Either.left(RecordFailure.UNCERTAIN);
    } catch (ExecutionException failed) {
      throw new IllegalStateException("a batched lease renewal failed unexpectedly", failed);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return Either.left(RecordFailure.UNCERTAIN);
    }
  }
}
