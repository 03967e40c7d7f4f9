package org.mimosacleat.core.admission;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.TeamId;

/**
 * What one proxy reports of one team.
 *
 * @param team the team
 * @param demand the units that the team's callers have recently requested at this proxy
 * @param held the units that the proxy admits at present
 */
public record TeamDemand(TeamId team, long demand, long held) {
  /** Checks the values. */
  public TeamDemand {
    Checks.notNull("team id", team);
    Checks.notNegative("demand", demand);
    Checks.notNegative("held units", held);
  }
}
