package org.mimosacleat.core.status;

import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Term;

/**
 * The state of a database group as known to a proxy.
 *
 * @param group the group
 * @param term the current term
 * @param primary the primary of that term; empty while a promotion is in progress
 * @param homes the proxies that hold connections of the group, the lease holder first
 * @param fencingToken the fencing token of the group's lease; zero if no proxy holds the lease
 */
public record GroupStatus(
    GroupId group, Term term, Optional<EndpointId> primary, List<VmId> homes, long fencingToken) {
  /** Validates the components. */
  public GroupStatus {
    Checks.notNull("group", group);
    Checks.notNull("term", term);
    Checks.notNull("primary", primary);
    homes = List.copyOf(homes);
    Checks.notNegative("fencing token", fencingToken);
  }
}
