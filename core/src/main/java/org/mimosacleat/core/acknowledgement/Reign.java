package org.mimosacleat.core.acknowledgement;

import java.util.Set;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Term;

/**
 * A term with its primary and the endpoints that count.
 *
 * @param term the term
 * @param primary the primary of the term
 * @param members the endpoints of the group, the primary among them
 */
public record Reign(Term term, EndpointId primary, Set<EndpointId> members) {
  /** Checks the parts. */
  public Reign {
    Checks.notNull("term", term);
    Checks.notNull("primary", primary);
    members = Set.copyOf(members);
    if (!members.contains(primary)) {
      throw new IllegalArgumentException(
          "primary must be one of the members " + members + ", but was " + primary);
    }
  }

  /** Returns how many endpoints make a majority of the members. */
  public int majority() {
    return members.size() / 2 + 1;
  }

  /** Returns how many replicas have to hold a write, so that it is on a majority of the members. */
  public int confirmationsNeeded() {
    return majority() - 1;
  }

  /** Tells whether {@code endpoint} is a member that follows the primary. */
  public boolean isReplica(EndpointId endpoint) {
    return members.contains(endpoint) && !primary.equals(endpoint);
  }
}
