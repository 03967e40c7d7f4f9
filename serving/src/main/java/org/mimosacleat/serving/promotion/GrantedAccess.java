package org.mimosacleat.serving.promotion;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.serving.version.StoreEra;

/**
 * The groups whose primaries this proxy may use, in one period of its lease. Access is young while
 * a copy of the store may lack the lease record that names the group.
 *
 * @param period the period of the lease
 * @param shortPeriod the period in which young access has not lapsed
 * @param era the era of the store in which the lease was last renewed
 * @param established the groups that every copy of the store names
 * @param youngSince the other groups, and when access to each was granted
 * @param unconfirmed the groups to which access waits for a confirmed record
 */
record GrantedAccess(
    long period,
    long shortPeriod,
    StoreEra era,
    Set<GroupId> established,
    Map<GroupId, Instant> youngSince,
    Set<GroupId> unconfirmed) {
  /** How old a copy may be from which the store comes back. */
  static final Duration MAX_COPY_AGE = Duration.ofSeconds(10);

  /** No access to any primary. */
  static final GrantedAccess NONE =
      new GrantedAccess(0, 0, StoreEra.UNKNOWN, Set.of(), Map.of(), Set.of());

  /** Copies the collections. */
  GrantedAccess {
    established = Set.copyOf(established);
    youngSince = Map.copyOf(youngSince);
    unconfirmed = Set.copyOf(unconfirmed);
  }

  /** Returns whether access to the primary of a group was granted and has not lapsed. */
  boolean includes(GroupId group, ProxyLease lease) {
    if (period != lease.period()) {
      return false;
    }
    return established.contains(group) || (isYoung(group) && shortPeriod == lease.shortPeriod());
  }

  /** Returns whether access to the primary of a group is young. */
  boolean isYoung(GroupId group) {
    return youngSince.containsKey(group);
  }

  /**
   * Returns this access after a renewal of the lease. Young access that has lapsed is lost. After a
   * return of the store it is only as old as the record in the new era.
   */
  GrantedAccess afterRenewal(long currentShortPeriod, StoreEra currentEra, Instant now) {
    Set<GroupId> old = new HashSet<>(established);
    Map<GroupId, Instant> young = new HashMap<>();
    if (shortPeriod == currentShortPeriod) {
      young.putAll(youngSince);
    }
    if (!era.equals(currentEra)) {
      young.replaceAll((_, _) -> now);
    }
    young.forEach(
        (group, since) -> {
          if (!now.isBefore(since.plus(MAX_COPY_AGE))) {
            old.add(group);
          }
        });
    young.keySet().removeAll(old);
    return new GrantedAccess(period, currentShortPeriod, currentEra, old, young, unconfirmed);
  }

  /**
   * Returns this access with a decision on each group.
   *
   * @param granted the groups to which access is granted, or goes on
   * @param waiting the groups whose record is not confirmed
   */
  GrantedAccess decided(ProxyLease lease, Set<GroupId> granted, Set<GroupId> waiting, Instant now) {
    Set<GroupId> old = new HashSet<>();
    Map<GroupId, Instant> young = new HashMap<>();
    for (GroupId group : granted) {
      if (!includes(group, lease)) {
        young.put(group, now);
      } else if (isYoung(group)) {
        young.put(group, youngSince.get(group));
      } else {
        old.add(group);
      }
    }
    return new GrantedAccess(lease.period(), lease.shortPeriod(), era, old, young, waiting);
  }
}
