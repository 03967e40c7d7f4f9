package org.mimosacleat.serving.peer;

import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.fleet.FleetState;
import org.mimosacleat.serving.limits.TeamHomes;

/** The homes of the teams by the placement of gateways. */
public final class PlacedTeamHomes implements TeamHomes {
  private final GatewayPlacement placement;
  private final FleetState fleet;

  /** Creates homes of the groups in the fleet's configuration. */
  public PlacedTeamHomes(GatewayPlacement placement, FleetState fleet) {
    this.placement = placement;
    this.fleet = fleet;
  }

  @Override
  public int homeGroups(VmId proxy, TeamId team) {
    return placement.homeGroups(proxy, team);
  }

  @Override
  public int groups() {
    return fleet
        .snapshot()
        .configuration()
        .map(configuration -> configuration.groups().size())
        .orElse(0);
  }
}
