package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.serving.fleet.FleetState;
import org.mimosacleat.serving.renewal.BatchedRenewals;
import org.mimosacleat.serving.routing.GroupStates;
import org.mimosacleat.serving.version.StoreEra;
import org.mimosacleat.serving.version.StoreVersion;

/**
 * The groups whose primaries this proxy may use. The lease record of this proxy names a group
 * before this proxy uses its primary, and the records of all primaries are read after that. So a
 * proxy that replaces a primary either finds this proxy among those to wait for, or this proxy
 * finds the replacement.
 *
 * <p>The store may come back from an older copy that lacks the latest lease records. So access that
 * is younger than such a copy can be ends soon after the last renewal of the lease.
 */
public final class PrimaryAccess {
  private final ProxyLease lease;
  private final SharedRecords shared;
  private final PrimaryRecords records;
  private final GroupStates groupStates;
  private final FleetState fleet;
  private final InstantSource clock;
  private final Set<GroupId> requested = ConcurrentHashMap.newKeySet();
  private final Semaphore requests = new Semaphore(0);
  private final AtomicReference<GrantedAccess> granted = new AtomicReference<>(GrantedAccess.NONE);

  /**
   * Creates an instance without access to any primary.
   *
   * @param clock the monotonic clock
   */
  public PrimaryAccess(
      ProxyLease lease,
      SharedRecords shared,
      PrimaryRecords records,
      GroupStates groupStates,
      FleetState fleet,
      InstantSource clock) {
    this.lease = lease;
    this.shared = shared;
    this.records = records;
    this.groupStates = groupStates;
    this.fleet = fleet;
    this.clock = clock;
  }

  /** Returns whether this proxy may use the primary of a group now; requests access if not. */
  public boolean isGranted(GroupId group) {
    if (holds(group)) {
      return true;
    }
    request(Set.of(group));
    return false;
  }

  /** Requests access to the primaries of groups. */
  public void request(Set<GroupId> groups) {
    boolean added = requested.addAll(groups);
    if (added || !groups.stream().allMatch(this::isDecided)) {
      requests.release();
    }
  }

  /** Renews the lease soon, because the store may have lost its record. */
  public void renewSoon() {
    requests.release();
  }

  /** Returns whether the lease record of this proxy may name a group. */
  boolean mayBeRecorded(GroupId group) {
    return requested.contains(group);
  }

  /** Returns whether this proxy may use the primary of a group now; requests nothing. */
  boolean holds(GroupId group) {
    GrantedAccess now = granted.get();
    return now.includes(group, lease)
        && lease.isHeldFor(now.isYoung(group) ? ProxyLease.SHORT_DURATION : ProxyLease.DURATION);
  }

  /** Returns whether some access is so young that the lease has to be renewed often. */
  boolean isYoung() {
    return !granted.get().youngSince().isEmpty();
  }

  /**
   * Returns the confirmation of a record in the present era; empty until the era's time is known.
   */
  Optional<Confirmation> confirmation() {
    return lease.confirmation();
  }

  /** Returns the requests that wait for {@link #renew}. */
  Semaphore pendingRequests() {
    return requests;
  }

  /** Renews the lease for all requested groups; reads the records of primaries if necessary. */
  public Either<RecordFailure, StoreVersion> renew() {
    requests.drainPermits();
    Set<GroupId> groups = new HashSet<>(requested);
    return readIfNecessary(groups, lease.renew(groups));
  }

  /**
   * Renews the lease together with those of other proxies, unless access to further groups is
   * requested or access is young; then as {@link #renew} does.
   */
  Either<RecordFailure, StoreVersion> renewBatched(BatchedRenewals batches) {
    Set<GroupId> groups = new HashSet<>(requested);
    if (isYoung() || !groups.stream().allMatch(this::isCurrent)) {
      return renew();
    }
    return readIfNecessary(groups, lease.renewBatched(groups, batches));
  }

  private Either<RecordFailure, StoreVersion> readIfNecessary(
      Set<GroupId> groups, Either<RecordFailure, StoreVersion> renewed) {
    renewed.peek(version -> updateAfterRenewal(version.era()));
    if (renewed.isLeft() || groups.stream().allMatch(this::isCurrent)) {
      return renewed;
    }
    return shared.readPrimaries().peek(read -> grant(groups, read)).flatMap(_ -> renewed);
  }

  /** Grants access to a primary for which it waits, once its record is confirmed. */
  void recordChanged(RecordedPrimary recorded) {
    if (recorded.isConfirmed() && granted.get().unconfirmed().contains(recorded.record().group())) {
      requests.release();
    }
  }

  private void grant(Set<GroupId> groups, List<RecordedPrimary> read) {
    for (RecordedPrimary recorded : read) {
      records.put(recorded);
      follow(recorded.record().group());
    }
    // Access to these begins now, so a replacement in progress may not have waited for this proxy.
    groups.stream()
        .filter(group -> !isCurrent(group))
        .forEach(group -> groupStates.of(group).distrustReplacedPrimary());
    Set<GroupId> unconfirmed = new HashSet<>(groups);
    unconfirmed.removeIf(group -> isCurrent(group) || isConfirmed(group));
    Set<GroupId> usable = new HashSet<>(groups);
    usable.removeAll(unconfirmed);
    granted.updateAndGet(now -> now.decided(lease, usable, unconfirmed, clock.instant()));
    fleet.notifyWaiters();
  }

  private void follow(GroupId group) {
    records.find(group).ifPresent(latest -> latest.applyTo(groupStates.of(group)));
  }

  /**
   * Returns whether this proxy may begin to use the primary of a group. The store may have lost a
   * later record, of a primary that was promoted since, until the record is confirmed.
   */
  private boolean isConfirmed(GroupId group) {
    return records.find(group).map(RecordedPrimary::isConfirmed).orElse(true);
  }

  private void updateAfterRenewal(StoreEra era) {
    Instant renewedAt = clock.instant();
    granted.updateAndGet(now -> now.afterRenewal(lease.shortPeriod(), era, renewedAt));
  }

  private boolean isCurrent(GroupId group) {
    return granted.get().includes(group, lease);
  }

  /** Returns whether access was granted in this period, or waits for a confirmed record. */
  private boolean isDecided(GroupId group) {
    GrantedAccess now = granted.get();
    boolean waits = now.period() == lease.period() && now.unconfirmed().contains(group);
    return waits || isCurrent(group);
  }
}
