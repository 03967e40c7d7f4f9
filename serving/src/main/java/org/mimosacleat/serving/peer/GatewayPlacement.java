package org.mimosacleat.serving.peer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.TeamId;
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

  /** Tried last, since traffic between zones is slower and has a price. */
  private static final int MAX_DISTANT_GATEWAYS = 6;

  /** More are not tried: a proxy that can follow none of them asks the store. */
  private static final int MAX_FEED_SOURCES = 2;

  /** Stands for the feeds of the store in the ranking of proxies. */
  private static final GroupId FEEDS = new GroupId("store-feeds");

  /** Bounds the memory of a proxy that sees many teams. */
  private static final int MAX_CACHED_HOMES = 4_096;

  private final FleetMembers members;
  private final FleetState fleet;
  private final ConnectionShare share;
  private final Map<RankedGroup, List<VmId>> ranked = new ConcurrentHashMap<>();
  private final Map<RankedTeam, RankedHomes> homes = new ConcurrentHashMap<>();

  /** Creates a placement of the groups in the fleet's configuration. */
  public GatewayPlacement(FleetMembers members, FleetState fleet, ConnectionShare share) {
    this.members = members;
    this.fleet = fleet;
    this.share = share;
  }

  /** Discards the ranking after a change of the members. */
  public void membersChanged() {
    ranked.clear();
    homes.clear();
  }

  /** Returns whether this proxy connects to the endpoints of a group by itself. */
  public boolean isGateway(GroupId group) {
    return gatewaysIn(members.self().zone(), group).contains(members.self().vm());
  }

  /**
   * Returns the proxies that run statements of a group for this proxy, in the order in which to try
   * them: the gateways of its zone, a reserve in its zone, gateways of other zones. Empty if this
   * proxy is a gateway itself. Proxies begin with different gateways.
   */
  List<VmId> gatewaysFor(GroupId group) {
    if (isGateway(group)) {
      return List.of();
    }
    List<VmId> all = new ArrayList<>(nearGatewaysFor(group));
    List<VmId> distant = new ArrayList<>();
    otherZones().forEach(zone -> distant.addAll(gatewaysIn(zone, group)));
    List<VmId> ordered = rotated(group, distant);
    all.addAll(ordered.subList(0, Math.min(ordered.size(), MAX_DISTANT_GATEWAYS)));
    return all;
  }

  /**
   * Returns the gateways of a group in all zones in the order in which they serve a team. The first
   * is the team's home: its connections to the group's endpoints are kept there.
   */
  public List<VmId> homesOf(GroupId group, TeamId team) {
    RankedTeam key = new RankedTeam(group, team);
    int perZone = gatewaysPerZone(group);
    RankedHomes known = homes.get(key);
    if (known != null && known.gatewaysPerZone() == perZone) {
      return known.ranked();
    }
    if (homes.size() >= MAX_CACHED_HOMES) {
      homes.clear();
    }
    return homes.compute(key, (_, _) -> rankHomes(group, team, perZone)).ranked();
  }

  /** Returns the gateways of a group in all zones, those of this zone first. */
  List<VmId> gatewaysInAllZones(GroupId group) {
    List<VmId> all = new ArrayList<>(gatewaysIn(members.self().zone(), group));
    otherZones().forEach(zone -> all.addAll(gatewaysIn(zone, group)));
    return all;
  }

  /** Returns of how many groups a proxy is the home for a team. */
  public int homeGroups(VmId proxy, TeamId team) {
    return fleet
        .snapshot()
        .configuration()
        .map(configuration -> configuration.groups().keySet().stream())
        .map(groups -> (int) groups.filter(group -> isHome(proxy, group, team)).count())
        .orElse(0);
  }

  private boolean isHome(VmId proxy, GroupId group, TeamId team) {
    return homesOf(group, team).getFirst().equals(proxy);
  }

  private RankedHomes rankHomes(GroupId group, TeamId team, int perZone) {
    Map<AvailabilityZone, Set<VmId>> gateways = new HashMap<>();
    List<Member> candidates = new ArrayList<>();
    for (FleetMember member : members.all()) {
      AvailabilityZone zone = member.zone();
      Set<VmId> inZone = gateways.computeIfAbsent(zone, _ -> firstIn(zone, group, perZone));
      if (inZone.contains(member.vm())) {
        candidates.add(new Member(member.vm(), zone));
      }
    }
    return new RankedHomes(perZone, RankedMembers.of(group, team, candidates));
  }

  private Set<VmId> firstIn(AvailabilityZone zone, GroupId group, int perZone) {
    List<VmId> inZone = ranking(zone, group);
    return Set.copyOf(inZone.subList(0, Math.min(perZone, inZone.size())));
  }

  /** Returns those of {@link #gatewaysFor} that are in this zone. */
  List<VmId> nearGatewaysFor(GroupId group) {
    if (isGateway(group)) {
      return List.of();
    }
    List<VmId> near = rotated(group, gatewaysIn(members.self().zone(), group));
    near.addAll(reserveFor(group));
    near.remove(members.self().vm());
    return near;
  }

  /** Returns the proxies of this zone whose store feeds this proxy may follow, best first. */
  List<VmId> feedSources() {
    List<VmId> inZone = ranking(members.self().zone(), FEEDS);
    int own = inZone.indexOf(members.self().vm());
    return inZone.subList(0, Math.min(own, MAX_FEED_SOURCES));
  }

  /**
   * Returns the proxies of other zones whose store feeds this proxy may follow: the best of each
   * zone first, since those read the store themselves.
   */
  List<VmId> distantFeedSources() {
    List<VmId> sources = new ArrayList<>();
    for (int rank = 0; rank < MAX_FEED_SOURCES; rank++) {
      for (AvailabilityZone zone : otherZones()) {
        List<VmId> inZone = ranking(zone, FEEDS);
        if (rank < inZone.size()) {
          sources.add(inZone.get(rank));
        }
      }
    }
    return sources;
  }

  private List<VmId> rotated(GroupId group, List<VmId> gateways) {
    List<VmId> rotated = new ArrayList<>(gateways);
    if (!rotated.isEmpty()) {
      int distance = RankedMembers.spread(group, members.self().vm(), rotated.size());
      Collections.rotate(rotated, distance);
    }
    return rotated;
  }

  private List<VmId> reserveFor(GroupId group) {
    List<VmId> inZone = ranking(members.self().zone(), group);
    int start = gatewaysIn(members.self().zone(), group).size();
    return inZone.subList(start, Math.min(start + RESERVE_GATEWAYS, inZone.size()));
  }

  private List<AvailabilityZone> otherZones() {
    return members.all().stream()
        .map(FleetMember::zone)
        .filter(zone -> !zone.equals(members.self().zone()))
        .distinct()
        .sorted(Comparator.comparing(AvailabilityZone::value))
        .toList();
  }

  private List<VmId> gatewaysIn(AvailabilityZone zone, GroupId group) {
    List<VmId> inZone = ranking(zone, group);
    return inZone.subList(0, Math.min(gatewaysPerZone(group), inZone.size()));
  }

  private List<VmId> ranking(AvailabilityZone zone, GroupId group) {
    return ranked.computeIfAbsent(new RankedGroup(zone, group), this::rank);
  }

  private List<VmId> rank(RankedGroup ranked) {
    List<Member> inZone =
        members.all().stream()
            .filter(member -> member.zone().equals(ranked.zone()))
            .map(member -> new Member(member.vm(), member.zone()))
            .toList();
    return RankedMembers.of(ranked.group(), inZone);
  }

  private int gatewaysPerZone(GroupId group) {
    return fleet
        .snapshot()
        .configuration()
        .map(configuration -> configuration.groups().get(group))
        .map(settings -> share.gatewaysPerZone(settings.maximumConnections()))
        .orElse(Integer.MAX_VALUE);
  }

  /**
   * The ranked gateways of all zones for one group and team.
   *
   * @param gatewaysPerZone the number of gateways for which they were ranked
   * @param ranked the home, then the others
   */
  private record RankedHomes(int gatewaysPerZone, List<VmId> ranked) {}

  /** The key of a ranking for one group and team. */
  private record RankedTeam(GroupId group, TeamId team) {
    @Override
    public boolean equals(Object other) {
      return other instanceof RankedTeam that
          && group.equals(that.group)
          && team.value().equals(that.team.value());
    }

    @Override
    public int hashCode() {
      return 31 * group.hashCode() + team.value().hashCode();
    }
  }

  /** The key of a ranking of the proxies of one zone for one group. */
  private record RankedGroup(AvailabilityZone zone, GroupId group) {
    @Override
    public boolean equals(Object other) {
      return other instanceof RankedGroup that
          && zone.equals(that.zone)
          && group.equals(that.group);
    }

    @Override
    public int hashCode() {
      return 31 * zone.hashCode() + group.hashCode();
    }
  }
}
