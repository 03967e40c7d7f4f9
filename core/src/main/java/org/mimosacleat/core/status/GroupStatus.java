package org.mimosacleat.core.status;

import java.util.List;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Term;

/**
 * One database group as a proxy sees it.
 *
 * @param group the group
 * @param term the current term
 * @param primary the primary of that term; empty while a promotion is under way
 * @param homes the proxies that hold the group's connections, the leaseholder first
 * @param fencingToken the token of the leaseholder's lease; zero while there is none
 */
public record GroupStatus(
    GroupId group, Term term, Optional<EndpointId> primary, List<VmId> homes, long fencingToken) {
  /** Checks the parts. */
  public GroupStatus {
    Checks.notNull("group", group);
    Checks.notNull("term", term);
    Checks.notNull("primary", primary);
    homes = List.copyOf(homes);
    Checks.notNegative("fencing token", fencingToken);
  }
}
