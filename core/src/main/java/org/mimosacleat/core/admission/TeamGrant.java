package org.mimosacleat.core.admission;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.TeamId;

/**
 * The share of one team's limit that one proxy may use.
 *
 * @param team the team
 * @param units the rate in operations per {@link TeamLimit#UNIT_SECONDS} seconds
 * @param burst the largest number of operations at once
 */
public record TeamGrant(TeamId team, long units, double burst) {
  /** Checks the values. */
  public TeamGrant {
    Checks.notNull("team id", team);
    Checks.notNegative("granted units", units);
    if (!(burst >= 0)) {
      throw new IllegalArgumentException("burst must not be negative, but was " + burst);
    }
  }
}
