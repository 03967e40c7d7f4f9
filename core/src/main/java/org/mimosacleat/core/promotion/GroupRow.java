package org.mimosacleat.core.promotion;

import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Term;

/**
 * The row of a group in the table service that says who its primary is. A write of it is
 * conditional on the version before.
 *
 * @param group the group
 * @param term the latest term that the row knows of
 * @param primary the primary of that term, or empty while its promotion is not finished
 * @param members the endpoints of the group
 * @param reservedThrough the last term that the writer may start without writing the row first; no
 *     one else ever starts it
 * @param version the write that made the row what it is
 */
public record GroupRow(
    GroupId group,
    Term term,
    Optional<EndpointId> primary,
    Set<EndpointId> members,
    Term reservedThrough,
    RowVersion version) {
  /** Checks the parts. */
  public GroupRow {
    Checks.notNull("group id", group);
    Checks.notNull("term", term);
    Checks.notNull("primary", primary);
    members = Set.copyOf(members);
    Checks.atLeast("reserved term", reservedThrough.number(), term.number());
    Checks.notNull("version", version);
  }
}
