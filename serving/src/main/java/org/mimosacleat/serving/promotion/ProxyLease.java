package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.id.VmId;
import org.tinylog.Logger;

/**
 * The lease under which this proxy may use primaries. It is valid for {@link #DURATION} after each
 * renewal. A proxy that replaces an unreachable primary waits until every other proxy has stopped
 * using it or its lease has expired. A suspension of the machine doesn't show on its monotonic
 * clock, but the wall clock then runs ahead of it; such a drift ends the lease until it is renewed.
 */
public final class ProxyLease {
  /** Validity of a renewed lease; longer than most outages of the store. */
  public static final Duration DURATION = Duration.ofSeconds(14);

  /** Added to {@link #DURATION} before another proxy's lease is considered expired. */
  public static final Duration EXPIRY_MARGIN = Duration.ofSeconds(1);

  private static final Duration MAX_CLOCK_DRIFT = Duration.ofMillis(700);

  private final VmId self;
  private final SharedRecords records;
  private final InstantSource clock;
  private final InstantSource wallClock;
  private final AtomicReference<Renewal> renewal =
      new AtomicReference<>(new Renewal(Instant.MIN, Duration.ZERO));
  private final AtomicReference<StoreTime> storeTime = new AtomicReference<>();

  /**
   * Creates a lease that is not held.
   *
   * @param clock the monotonic clock
   * @param wallClock a clock that continues to run while the machine is suspended
   */
  public ProxyLease(
      VmId self, SharedRecords records, InstantSource clock, InstantSource wallClock) {
    this.self = self;
    this.records = records;
    this.clock = clock;
    this.wallClock = wallClock;
  }

  /** Returns whether this proxy may use primaries now. */
  public boolean isHeld() {
    Renewal last = renewal.get();
    return clock.instant().isBefore(last.expiresAt()) && !hasDrifted(last.drift());
  }

  /** Reads the store's time and returns the number of lease holders, this proxy included. */
  public Either<RecordFailure, Integer> refreshStoreTime() {
    Instant sentAt = clock.instant();
    Duration drift = drift();
    return records
        .readProxies()
        .peek(list -> storeTime.set(new StoreTime(list.storeMillis(), sentAt, drift)))
        .map(this::countHolders);
  }

  /** Renews the lease; reads the store's time first if unknown or outdated by a suspension. */
  public Either<RecordFailure, Long> renew() {
    StoreTime time = storeTime.get();
    if (time == null || hasDrifted(time.drift())) {
      return refreshStoreTime().flatMap(_ -> renewAt(storeTime.get()));
    }
    return renewAt(time);
  }

  /** Releases the lease and removes its record from the store. */
  public void release() {
    renewal.set(new Renewal(Instant.MIN, Duration.ZERO));
    records
        .removeProxy(self)
        .peekLeft(
            failure ->
                Logger.warn(
                    "could not remove the lease record of {}: {}; others wait until it expires",
                    self,
                    failure));
  }

  /** Returns whether a proxy's lease has certainly expired. */
  static boolean hasExpired(ProxyRecord proxy, long storeMillis) {
    return storeMillis - proxy.renewedAtMillis() > DURATION.plus(EXPIRY_MARGIN).toMillis();
  }

  private Either<RecordFailure, Long> renewAt(StoreTime time) {
    Duration drift = drift();
    Instant sentAt = clock.instant();
    return records
        .renewProxy(new ProxyRecord(self, time.latestAt(sentAt)))
        .peek(_ -> renewal.set(new Renewal(sentAt.plus(DURATION), drift)));
  }

  private int countHolders(ProxyList list) {
    long others =
        list.proxies().stream()
            .filter(proxy -> !proxy.proxy().equals(self) && !hasExpired(proxy, list.storeMillis()))
            .count();
    return (int) others + 1;
  }

  private Duration drift() {
    return Duration.between(clock.instant(), wallClock.instant());
  }

  private boolean hasDrifted(Duration before) {
    return drift().minus(before).compareTo(MAX_CLOCK_DRIFT) > 0;
  }

  private record Renewal(Instant expiresAt, Duration drift) {}

  /**
   * The store's time {@code millis}, read by a request that was sent at {@code sentAt}. The store
   * read its clock at {@code sentAt} or later, so {@link #latestAt} is an upper bound of its time.
   */
  private record StoreTime(long millis, Instant sentAt, Duration drift) {
    long latestAt(Instant moment) {
      return millis + Duration.between(sentAt, moment).toMillis();
    }
  }
}
