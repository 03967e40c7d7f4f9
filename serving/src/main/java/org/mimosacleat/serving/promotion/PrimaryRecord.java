package org.mimosacleat.serving.promotion;

import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Term;

/**
 * The primary of one group as agreed on by all proxies through the shared store.
 *
 * @param group the group
 * @param primary the primary of the term; empty if none has been known so far
 * @param term the current term
 * @param round number of replacements started so far
 * @param replacement the replacement in progress, if any
 */
public record PrimaryRecord(
    GroupId group,
    Optional<EndpointId> primary,
    Term term,
    long round,
    Optional<Replacement> replacement) {
  /** Checks that no component is null. */
  public PrimaryRecord {
    Checks.notNull("group", group);
    Checks.notNull("primary", primary);
    Checks.notNull("term", term);
    Checks.notNull("replacement", replacement);
  }

  /**
   * Returns this record with a replacement started, or continued, by the holder of {@code next}.
   */
  PrimaryRecord withReplacement(Replacement next) {
    long nextRound = replacement.isPresent() ? round : round + 1;
    return new PrimaryRecord(group, primary, term, nextRound, Optional.of(next));
  }

  /** Returns this record with a new primary and no replacement in progress. */
  PrimaryRecord withPrimary(EndpointId newPrimary, Term newTerm) {
    return new PrimaryRecord(group, Optional.of(newPrimary), newTerm, round, Optional.empty());
  }
}
