package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.id.VmId;
import org.tinylog.Logger;

/**
 * This proxy's right to use primaries. It lasts for a time after each renewal; whoever replaces a
 * primary waits until each proxy has stopped or its right has run out. A machine that was suspended
 * does not notice by its monotonic clock; the wall clock then runs ahead of it, which ends the
 * right until it is renewed.
 */
public final class ProxyLease {
  /** How long the right lasts after a renewal: longer than outages of the store usually are. */
  public static final Duration DURATION = Duration.ofSeconds(14);

  /** Added by those who wait for the end of another proxy's right. */
  public static final Duration MARGIN = Duration.ofSeconds(1);

  private static final Duration MOST_DRIFT = Duration.ofMillis(700);

  private final VmId self;
  private final SharedRecords records;
  private final InstantSource clock;
  private final InstantSource wallClock;
  private final AtomicReference<Renewal> renewal =
      new AtomicReference<>(new Renewal(Instant.MIN, Duration.ZERO));
  private final AtomicReference<StoreTime> storeTime = new AtomicReference<>();

  /**
   * Makes a lease that is not held.
   *
   * @param clock the monotonic clock
   * @param wallClock the clock that goes on while the machine is suspended
   */
  public ProxyLease(
      VmId self, SharedRecords records, InstantSource clock, InstantSource wallClock) {
    this.self = self;
    this.records = records;
    this.clock = clock;
    this.wallClock = wallClock;
  }

  /** Tells whether primaries may be used now. */
  public boolean isHeld() {
    Renewal last = renewal.get();
    return clock.instant().isBefore(last.until()) && !hasDrifted(last.drift());
  }

  /** Learns the store's time, and returns how many proxies hold their right, this one included. */
  public Either<RecordFailure, Integer> learn() {
    Instant sentAt = clock.instant();
    Duration drift = drift();
    return records
        .readProxies()
        .peek(list -> storeTime.set(new StoreTime(list.storeMillis(), sentAt, drift)))
        .map(this::holders);
  }

  /** Renews the right; the store's time must have been learned since the machine was suspended. */
  public Either<RecordFailure, Long> renew() {
    StoreTime time = storeTime.get();
    if (time == null || hasDrifted(time.drift())) {
      return learn().flatMap(_ -> renewBy(storeTime.get()));
    }
    return renewBy(time);
  }

  /** Gives the right up. */
  public void release() {
    renewal.set(new Renewal(Instant.MIN, Duration.ZERO));
    records
        .removeProxy(self)
        .peekLeft(failure -> Logger.warn("lease of {} not released: {}", self, failure));
  }

  /** Tells whether a proxy's right has certainly run out. */
  static boolean hasEnded(ProxyRecord proxy, long storeMillis) {
    return storeMillis - proxy.renewedAtMillis() > DURATION.plus(MARGIN).toMillis();
  }

  private Either<RecordFailure, Long> renewBy(StoreTime time) {
    Duration drift = drift();
    Instant sentAt = clock.instant();
    return records
        .renewProxy(new ProxyRecord(self, time.latestAt(sentAt)))
        .peek(_ -> renewal.set(new Renewal(sentAt.plus(DURATION), drift)));
  }

  private int holders(ProxyList list) {
    long others =
        list.proxies().stream()
            .filter(proxy -> !proxy.proxy().equals(self) && !hasEnded(proxy, list.storeMillis()))
            .count();
    return (int) others + 1;
  }

  private Duration drift() {
    return Duration.between(clock.instant(), wallClock.instant());
  }

  private boolean hasDrifted(Duration before) {
    return drift().minus(before).compareTo(MOST_DRIFT) > 0;
  }

  private record Renewal(Instant until, Duration drift) {}

  /** The store's clock was at {@code millis} or later when {@code sentAt} had passed. */
  private record StoreTime(long millis, Instant sentAt, Duration drift) {
    long latestAt(Instant moment) {
      return millis + Duration.between(sentAt, moment).toMillis();
    }
  }
}
