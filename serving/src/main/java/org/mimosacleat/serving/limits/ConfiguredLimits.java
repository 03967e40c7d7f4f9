package org.mimosacleat.serving.limits;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Collectors;
import org.mimosacleat.core.admission.Limits;
import org.mimosacleat.core.admission.TeamLimit;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.serving.fleet.FleetState;
import org.mimosacleat.serving.fleet.Team;
import org.mimosacleat.serving.fleet.Teams;

/** The limits of the teams in the configuration that this proxy has applied. */
public final class ConfiguredLimits implements Limits {
  private final FleetState fleet;
  private final AtomicReference<Limited> latest =
      new AtomicReference<>(new Limited(Teams.NOT_CONFIGURED, Set.of()));

  /** Creates limits that follow the configuration of a fleet. */
  public ConfiguredLimits(FleetState fleet) {
    this.fleet = fleet;
  }

  @Override
  public Optional<TeamLimit> of(TeamId team) {
    return teamsOfConfiguration().team(team).flatMap(Team::limit);
  }

  @Override
  public Set<TeamId> teams() {
    Teams current = teamsOfConfiguration();
    return latest.updateAndGet(known -> known.all() == current ? known : Limited.of(current)).ids();
  }

  private Teams teamsOfConfiguration() {
    return fleet
        .snapshot()
        .configuration()
        .map(configuration -> configuration.teams())
        .orElse(Teams.NOT_CONFIGURED);
  }

  /** The teams of one configuration that have a limit, kept because it is asked for often. */
  private record Limited(Teams all, Set<TeamId> ids) {
    static Limited of(Teams teams) {
      return new Limited(
          teams,
          teams.all().stream()
              .filter(team -> team.limit().isPresent())
              .map(Team::id)
              .collect(Collectors.toUnmodifiableSet()));
    }
  }
}
