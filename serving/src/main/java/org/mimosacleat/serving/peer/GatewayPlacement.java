package org.mimosacleat.serving.peer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.placement.Member;
import org.mimosacleat.core.placement.RankedMembers;
import org.mimosacleat.serving.endpoint.ConnectionShare;
import org.mimosacleat.serving.fleet.FleetState;

/**
 * Decides which proxies are the gateways of a group. In a small fleet every proxy is one; in a
 * large fleet only as many in each zone as the connection limit of the endpoints allows.
 */
public final class GatewayPlacement {
  /** Tried after the gateways of the zone, so that their loss makes few proxies connect. */
  private static final int RESERVE_GATEWAYS = 1;

  /** More are not tried: a proxy that can follow none of them asks the store. */
  private static final int MAX_FEED_SOURCES = 2;

  /** Stands for the feeds of the store in the ranking of proxies. */
  private static final GroupId FEEDS = new GroupId("store-feeds");

  private final FleetMembers members;
  private final FleetState fleet;
  private final ConnectionShare share;
  private final Map<GroupId, List<VmId>> ranked = new ConcurrentHashMap<>();

  /** Creates a placement of the groups in the fleet's configuration. */
  public GatewayPlacement(FleetMembers members, FleetState fleet, ConnectionShare share) {
    this.members = members;
    this.fleet = fleet;
    this.share = share;
  }

  /** Discards the ranking after a change of the members. */
  public void membersChanged() {
    ranked.clear();
  }

  /** Returns whether this proxy connects to the endpoints of a group by itself. */
  public boolean isGateway(GroupId group) {
    int count = gatewaysPerZone(group);
    List<VmId> inZone = ranking(group);
    return inZone.subList(0, Math.min(count, inZone.size())).contains(members.self().vm());
  }

  /**
   * Returns the proxies of this zone that run statements of a group for this proxy, in the order in
   * which to try them; empty if this proxy is a gateway itself. Proxies begin with different
   * gateways.
   */
  List<VmId> gatewaysFor(GroupId group) {
    if (isGateway(group)) {
      return List.of();
    }
    VmId self = members.self().vm();
    List<VmId> inZone = ranking(group);
    int count = Math.min(gatewaysPerZone(group), inZone.size());
    List<VmId> gateways = new ArrayList<>(inZone.subList(0, count));
    Collections.rotate(gateways, RankedMembers.spread(group, self, count));
    int end = Math.min(count + RESERVE_GATEWAYS, inZone.size());
    List<VmId> reserve = inZone.subList(count, end);
    if (!reserve.contains(self)) {
      gateways.addAll(reserve);
    }
    return gateways;
  }

  /** Returns the proxies of this zone whose store feeds this proxy may follow, best first. */
  List<VmId> feedSources() {
    List<VmId> inZone = ranking(FEEDS);
    int own = inZone.indexOf(members.self().vm());
    return inZone.subList(0, Math.min(own, MAX_FEED_SOURCES));
  }

  private List<VmId> ranking(GroupId group) {
    return ranked.computeIfAbsent(group, this::rank);
  }

  private List<VmId> rank(GroupId group) {
    List<Member> inZone =
        members.all().stream()
            .filter(member -> member.zone().equals(members.self().zone()))
            .map(member -> new Member(member.vm(), member.zone()))
            .toList();
    return RankedMembers.of(group, inZone);
  }

  private int gatewaysPerZone(GroupId group) {
    return fleet
        .snapshot()
        .configuration()
        .map(configuration -> configuration.groups().get(group))
        .map(settings -> share.gatewaysPerZone(settings.maximumConnections()))
        .orElse(Integer.MAX_VALUE);
  }
}
