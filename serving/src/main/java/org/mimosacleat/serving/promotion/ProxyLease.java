package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.peer.FleetMember;
import org.mimosacleat.serving.renewal.BatchedRenewals;
import org.mimosacleat.serving.version.StoreEra;
import org.mimosacleat.serving.version.StoreEras;
import org.mimosacleat.serving.version.StoreVersion;
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

  /** Validity for access that the store may lose when it comes back from an older copy. */
  public static final Duration SHORT_DURATION = Duration.ofSeconds(5);

  /** Added to the duration before another proxy's lease is considered expired. */
  public static final Duration EXPIRY_MARGIN = Duration.ofSeconds(1);

  /**
   * By then every proxy that reaches the store has renewed its lease after a return of the store.
   */
  private static final Duration MAX_TIME_TO_RENEW_ALL = Duration.ofSeconds(6);

  private static final Duration MAX_CLOCK_DRIFT = Duration.ofMillis(700);

  private final FleetMember self;
  private final SharedRecords records;
  private final StoreEras eras;
  private final InstantSource clock;
  private final InstantSource wallClock;
  private final AtomicReference<Renewal> renewal =
      new AtomicReference<>(new Renewal(Instant.MIN, Duration.ZERO, 0, 0));
  private final AtomicReference<Optional<StoreVersion>> recordVersion =
      new AtomicReference<>(Optional.empty());
  private final AtomicReference<StoreTime> storeTime = new AtomicReference<>();
  private volatile boolean released;
  private final AtomicReference<List<FleetMember>> lastHolders = new AtomicReference<>(List.of());

  /**
   * Creates a lease that is not held.
   *
   * @param eras the eras of the store that keeps the records
   * @param clock the monotonic clock
   * @param wallClock a clock that continues to run while the machine is suspended
   */
  public ProxyLease(
      FleetMember self,
      SharedRecords records,
      StoreEras eras,
      InstantSource clock,
      InstantSource wallClock) {
    this.self = self;
    this.records = records;
    this.eras = eras;
    this.clock = clock;
    this.wallClock = wallClock;
  }

  /** Returns whether this proxy may use primaries now. */
  public boolean isHeld() {
    return isHeldFor(DURATION);
  }

  /** Returns whether the lease is valid, if each renewal extends it for this time only. */
  boolean isHeldFor(Duration duration) {
    return isValid(renewal.get(), duration);
  }

  /**
   * Returns the number of the present period in which the lease was held without interruption. What
   * was read from the store in an earlier period may have changed since.
   */
  public long period() {
    return renewal.get().period();
  }

  /**
   * Returns the number of the present period in which the lease was held without interruption, if
   * each renewal extends it for {@link #SHORT_DURATION} only.
   */
  long shortPeriod() {
    return renewal.get().shortPeriod();
  }

  private boolean isValid(Renewal last, Duration duration) {
    return clock.instant().isBefore(last.sentAt().plus(duration)) && !hasDrifted(last.drift());
  }

  /** Reads the store's time and returns the other proxies that hold a lease. */
  public Either<RecordFailure, List<FleetMember>> refreshStoreTime() {
    Instant sentAt = clock.instant();
    Duration drift = drift();
    return records
        .readProxies()
        .peek(list -> storeTime.set(new StoreTime(list.era(), list.storeMillis(), sentAt, drift)))
        .peek(list -> recordVersion.set(Optional.of(list.versionOf(self.vm()))))
        .map(this::otherHolders);
  }

  /**
   * Renews the lease; reads the store's time first if unknown, or outdated by a suspension of the
   * machine or a return of the store from an older copy.
   *
   * @param groups the groups whose primaries this proxy may use
   */
  public Either<RecordFailure, StoreVersion> renew(Set<GroupId> groups) {
    if (released) {
      return Either.left(RecordFailure.NOT_DONE);
    }
    StoreTime time = storeTime.get();
    Optional<StoreVersion> expected = recordVersion.get();
    if (time == null || isOutdated(time) || expected.isEmpty()) {
      return refreshStoreTime()
          .flatMap(_ -> renewAt(storeTime.get(), groups, recordVersion.get().orElseThrow()));
    }
    return renewAt(time, groups, expected.get());
  }

  /**
   * Renews a lease that is held, together with those of other proxies; renews it alone if that
   * fails, or if the record's version or the store's time is not known.
   *
   * @param groups the groups whose primaries this proxy may use
   */
  Either<RecordFailure, StoreVersion> renewBatched(Set<GroupId> groups, BatchedRenewals batches) {
    StoreTime time = storeTime.get();
    Optional<StoreVersion> expected = recordVersion.get();
    if (!isHeld() || time == null || isOutdated(time) || expected.isEmpty()) {
      return renew(groups);
    }
    Duration drift = drift();
    Instant sentAt = clock.instant();
    ProxyRecord record = new ProxyRecord(self, groups, time.latestAt(sentAt));
    return batches
        .renew(new LeaseRenewal(record, expected.get()))
        .filterOrElse(
            version -> version.era().equals(expected.get().era()), _ -> RecordFailure.UNCERTAIN)
        .peek(version -> recordVersion.set(Optional.of(version)))
        .peek(_ -> extend(sentAt, drift))
        .orElse(() -> renew(groups));
  }

  /**
   * Returns how long it takes until the store's time, in milliseconds, is a multiple of an
   * interval; the whole interval if the store's time is not known.
   */
  Duration untilMultipleOf(Duration interval) {
    StoreTime time = storeTime.get();
    if (time == null) {
      return interval;
    }
    long millis = interval.toMillis();
    return Duration.ofMillis(millis - Math.floorMod(time.latestAt(clock.instant()), millis));
  }

  /**
   * Returns the confirmation of a record in the present era; empty until the store's time was read
   * in it. Leases that were granted before the era began may be missing from the store.
   */
  Optional<Confirmation> confirmation() {
    StoreTime time = storeTime.get();
    StoreEra era = eras.current();
    return time == null || isOutdated(time)
        ? Optional.empty()
        : Optional.of(new Confirmation(era, Math.max(0, time.latestAt(eras.currentSince()))));
  }

  /** Releases the lease for good and removes its record from the store. */
  public void release() {
    released = true;
    renewal.set(new Renewal(Instant.MIN, Duration.ZERO, period(), shortPeriod()));
    removeRecord()
        .orElse(() -> refreshStoreTime().flatMap(_ -> removeRecord()))
        .peekLeft(
            failure ->
                Logger.warn(
                    "could not remove the lease record of {}: {}; others wait until it expires",
                    self.vm(),
                    failure));
  }

  /** Fails with a conflict if a renewal on its way was performed meanwhile. */
  private Either<RecordFailure, StoreVersion> removeRecord() {
    return records.removeProxy(self.vm(), recordVersion.get().orElse(StoreVersion.NONE));
  }

  /** Returns whether a proxy's lease has certainly expired, unless the store has lost renewals. */
  static boolean hasExpired(ProxyRecord proxy, long storeMillis) {
    return storeMillis - proxy.renewedAtMillis() > DURATION.plus(EXPIRY_MARGIN).toMillis();
  }

  private Either<RecordFailure, StoreVersion> renewAt(
      StoreTime time, Set<GroupId> groups, StoreVersion expected) {
    Duration drift = drift();
    Instant sentAt = clock.instant();
    return records
        .renewProxy(new ProxyRecord(self, groups, time.latestAt(sentAt)), expected)
        .peek(version -> recordVersion.set(Optional.of(version)))
        .peekLeft(this::forgetVersion)
        .peek(_ -> extend(sentAt, drift));
  }

  /** After a conflict or a lost answer the record's version has to be read again. */
  private void forgetVersion(RecordFailure failure) {
    if (failure != RecordFailure.NOT_DONE) {
      recordVersion.set(Optional.empty());
    }
  }

  private void extend(Instant sentAt, Duration drift) {
    if (released) {
      return;
    }
    Renewal last = renewal.get();
    long period = isValid(last, DURATION) ? last.period() : last.period() + 1;
    long shortPeriod = isValid(last, SHORT_DURATION) ? last.shortPeriod() : last.shortPeriod() + 1;
    renewal.set(new Renewal(sentAt, drift, period, shortPeriod));
  }

  /**
   * Returns the other proxies that hold a lease. Soon after a return of the store from an older
   * copy, those that were listed before are included: the store may have lost their records.
   */
  private List<FleetMember> otherHolders(ProxyList list) {
    Map<VmId, FleetMember> holders = new LinkedHashMap<>();
    list.proxies().stream()
        .filter(proxy -> !proxy.proxy().equals(self.vm()))
        .filter(proxy -> !hasExpired(proxy, list.storeMillis()))
        .flatMap(proxy -> proxy.member().stream())
        .forEach(member -> holders.put(member.vm(), member));
    if (mayLackLeases()) {
      lastHolders.get().forEach(member -> holders.putIfAbsent(member.vm(), member));
    }
    lastHolders.set(List.copyOf(holders.values()));
    return lastHolders.get();
  }

  private boolean mayLackLeases() {
    Duration sinceReturn = Duration.between(eras.currentSince(), clock.instant());
    return !eras.isFirst() && sinceReturn.compareTo(MAX_TIME_TO_RENEW_ALL) < 0;
  }

  private boolean isOutdated(StoreTime time) {
    return hasDrifted(time.drift()) || !time.era().equals(eras.current());
  }

  private Duration drift() {
    return Duration.between(clock.instant(), wallClock.instant());
  }

  private boolean hasDrifted(Duration before) {
    return drift().minus(before).compareTo(MAX_CLOCK_DRIFT) > 0;
  }

  private record Renewal(Instant sentAt, Duration drift, long period, long shortPeriod) {}

  /**
   * The store's time {@code millis}, read by a request that was sent at {@code sentAt}. The store
   * read its clock at {@code sentAt} or later, so {@link #latestAt} is an upper bound of its time.
   */
  private record StoreTime(StoreEra era, long millis, Instant sentAt, Duration drift) {
    long latestAt(Instant moment) {
      return millis + Duration.between(sentAt, moment).toMillis();
    }
  }
}
