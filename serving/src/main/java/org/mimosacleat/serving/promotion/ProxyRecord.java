package org.mimosacleat.serving.promotion;

import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.peer.FleetMember;

/**
 * The lease record of a proxy.
 *
 * @param proxy the VM of the proxy
 * @param member how other proxies reach it; empty in records of versions without relaying
 * @param groups the groups whose primaries it may use; empty if it may use those of all groups, as
 *     in records of earlier versions
 * @param renewedAtMillis time of the last renewal in milliseconds, by the store's clock
 */
public record ProxyRecord(
    VmId proxy, Optional<FleetMember> member, Optional<Set<GroupId>> groups, long renewedAtMillis) {
  /** Copies the groups. */
  public ProxyRecord {
    groups = groups.map(Set::copyOf);
  }

  /** Creates a record of this version. */
  public ProxyRecord(FleetMember member, Set<GroupId> groups, long renewedAtMillis) {
    this(member.vm(), Optional.of(member), Optional.of(groups), renewedAtMillis);
  }

  /** Returns this record as if it had been renewed at a time. */
  ProxyRecord renewedAt(long storeMillis) {
    return new ProxyRecord(proxy, member, groups, storeMillis);
  }

  /** Returns whether the proxy may use the primary of a group while it holds its lease. */
  public boolean mayUsePrimaryOf(GroupId group) {
    return groups.isEmpty() || groups.get().contains(group);
  }
}
