package org.mimosacleat.core.admission;

import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.TeamId;

/** The limits of the teams in the current configuration. Implementations are thread-safe. */
@FunctionalInterface
public interface Limits {
  /** Returns the limit of a team; empty if the team is unlimited. */
  Optional<TeamLimit> of(TeamId team);

  /** Returns the teams that have a limit. */
  default Set<TeamId> teams() {
    return Set.of();
  }
}
