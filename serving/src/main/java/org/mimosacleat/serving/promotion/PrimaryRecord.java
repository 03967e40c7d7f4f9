package org.mimosacleat.serving.promotion;

import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Term;

/**
 * What the proxies have agreed on for one group.
 *
 * @param group the group
 * @param primary the primary of the term; empty if none was ever known
 * @param term the term
 * @param round numbers the replacements that were begun
 * @param replacement the replacement that is under way
 */
public record PrimaryRecord(
    GroupId group,
    Optional<EndpointId> primary,
    Term term,
    long round,
    Optional<Replacement> replacement) {
  /** Checks the parts. */
  public PrimaryRecord {
    Checks.notNull("group", group);
    Checks.notNull("primary", primary);
    Checks.notNull("term", term);
    Checks.notNull("replacement", replacement);
  }

  /** Returns this record with a replacement that goes on, or begins, under a proxy. */
  PrimaryRecord replacedBy(Replacement next) {
    long nextRound = replacement.isPresent() ? round : round + 1;
    return new PrimaryRecord(group, primary, term, nextRound, Optional.of(next));
  }

  /** Returns the record of a primary that leads. */
  PrimaryRecord led(EndpointId leader, Term newTerm) {
    return new PrimaryRecord(group, Optional.of(leader), newTerm, round, Optional.empty());
  }
}
