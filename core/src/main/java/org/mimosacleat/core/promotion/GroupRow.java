package org.mimosacleat.core.promotion;

import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Term;

/**
 * The row of a group in the table service that names its primary. Each write is conditional on the
 * previous version.
 *
 * @param group the group
 * @param term the latest term recorded in the row
 * @param primary the primary of that term, or empty until its promotion is complete
 * @param members the endpoints of the group
 * @param reservedThrough the last term that the writer may start without writing the row first; no
 *     other home starts it
 * @param version identifies the write that produced this row
 */
public record GroupRow(
    GroupId group,
    Term term,
    Optional<EndpointId> primary,
    Set<EndpointId> members,
    Term reservedThrough,
    RowVersion version) {
  /** Checks the components. */
  public GroupRow {
    Checks.notNull("group id", group);
    Checks.notNull("term", term);
    Checks.notNull("primary", primary);
    members = Set.copyOf(members);
    Checks.atLeast("reserved term", reservedThrough.number(), term.number());
    Checks.notNull("version", version);
  }
}
