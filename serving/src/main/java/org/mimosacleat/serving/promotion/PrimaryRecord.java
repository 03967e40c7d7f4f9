package org.mimosacleat.serving.promotion;

import java.util.Comparator;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.version.StoreEra;

/**
 * The primary of one group as agreed on by all proxies through the shared store.
 *
 * @param group the group
 * @param primary the primary of the term; empty if none has been known so far
 * @param term the current term
 * @param round number of replacements started so far
 * @param replacement the replacement in progress, if any
 * @param confirmation the era in which this was last confirmed as the latest record
 * @param copies where the acknowledged commits of the group may be
 */
public record PrimaryRecord(
    GroupId group,
    Optional<EndpointId> primary,
    Term term,
    long round,
    Optional<Replacement> replacement,
    Confirmation confirmation,
    LogCopies copies) {
  /** Records of one group in the order in which proxies agree on them. */
  private static final Comparator<PrimaryRecord> ORDER =
      Comparator.comparing(PrimaryRecord::term).thenComparingLong(PrimaryRecord::round);

  /** Checks that no component is null. */
  public PrimaryRecord {
    Checks.notNull("group", group);
    Checks.notNull("primary", primary);
    Checks.notNull("term", term);
    Checks.notNull("replacement", replacement);
    Checks.notNull("confirmation", confirmation);
    Checks.notNull("copies of the log", copies);
  }

  /** Creates a record of a group whose copies of the log are not known. */
  public PrimaryRecord(
      GroupId group,
      Optional<EndpointId> primary,
      Term term,
      long round,
      Optional<Replacement> replacement,
      Confirmation confirmation) {
    this(group, primary, term, round, replacement, confirmation, LogCopies.NONE);
  }

  /**
   * Returns whether this record was agreed on after another one of the group. A replacement has a
   * later round, and ends with a later term, so this holds whatever the store has lost.
   */
  boolean isLaterThan(PrimaryRecord other) {
    return ORDER.compare(this, other) > 0;
  }

  /** Returns whether this record is known to be the latest one in an era of the store. */
  boolean isConfirmedIn(StoreEra era) {
    return !era.isAfter(confirmation.era());
  }

  /** Returns this record as the latest one of an era. */
  PrimaryRecord withConfirmation(Confirmation next) {
    return new PrimaryRecord(group, primary, term, round, replacement, next, copies);
  }

  /** Returns this record with other knowledge of where acknowledged commits may be. */
  public PrimaryRecord withCopies(LogCopies next) {
    return new PrimaryRecord(group, primary, term, round, replacement, confirmation, next);
  }

  /**
   * Returns this record with a replacement started, or continued, by the holder of {@code next}.
   */
  PrimaryRecord withReplacement(Replacement next) {
    long nextRound = replacement.isPresent() ? round : round + 1;
    return new PrimaryRecord(
        group, primary, term, nextRound, Optional.of(next), confirmation, copies);
  }

  /**
   * Returns this record with a new primary and no replacement in progress. The commits of earlier
   * terms may then be in the log of the new primary only.
   *
   * @param end the end of the log of the new primary
   */
  PrimaryRecord withPrimary(EndpointId newPrimary, Term newTerm, Position end) {
    Term reachedIn = end.term().isAfter(term) ? term : end.term();
    LogCopies next =
        copies.areKept() ? copies.requiring(new Position(reachedIn, end.log())) : copies;
    return new PrimaryRecord(
        group,
        Optional.of(newPrimary),
        newTerm,
        round,
        Optional.empty(),
        confirmation,
        next.asComplete(false));
  }
}
