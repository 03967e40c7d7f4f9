package org.mimosacleat.core.acknowledgement;

import java.util.Set;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Term;

/**
 * A term with its primary and the members that form a majority.
 *
 * @param term the term
 * @param primary the primary of the term
 * @param members the endpoints of the group, including the primary
 */
public record TermMembership(Term term, EndpointId primary, Set<EndpointId> members) {
  /** Checks the components. */
  public TermMembership {
    Checks.notNull("term", term);
    Checks.notNull("primary", primary);
    members = Set.copyOf(members);
    if (!members.contains(primary)) {
      throw new IllegalArgumentException(
          "primary must be one of the members " + members + ", but was " + primary);
    }
  }

  /** Returns the number of endpoints that form a majority of the members. */
  public int majority() {
    return members.size() / 2 + 1;
  }

  /**
   * Returns the number of replicas that must store a write for it to be on a majority of the
   * members, the primary included.
   */
  public int requiredConfirmations() {
    return majority() - 1;
  }

  /** Returns whether {@code endpoint} is a member that follows the primary. */
  public boolean isReplica(EndpointId endpoint) {
    return members.contains(endpoint) && !primary.equals(endpoint);
  }
}
