package org.mimosacleat.serving.fleet;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.mimosacleat.core.admission.TeamLimit;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.TeamId;

/**
 * A team of callers.
 *
 * @param id the team's name
 * @param keys the keys that admit its callers; may be empty
 * @param priority the priority, if one is configured; zero is the highest
 * @param limit the limit of its operations; empty if unlimited
 */
public record Team(TeamId id, Set<ApiKey> keys, OptionalInt priority, Optional<TeamLimit> limit) {
  /** Copies the keys. */
  public Team {
    Checks.notNull("team id", id);
    Checks.notNull("limit", limit);
    priority.ifPresent(value -> Checks.notNegative("priority", value));
    keys = Set.copyOf(keys);
  }
}
