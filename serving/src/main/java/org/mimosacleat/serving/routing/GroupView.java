package org.mimosacleat.serving.routing;

import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.routing.PrimaryHistory;

/** What this proxy knows of one group's primary and of the positions of its log. */
public final class GroupView {
  private final AtomicReference<Known> known =
      new AtomicReference<>(
          new Known(Optional.empty(), new Term(0), false, PrimaryHistory.empty()));

  /** Returns the endpoint that may be used as primary now. */
  public Optional<EndpointId> primary() {
    Known now = known.get();
    return now.paused() ? Optional.empty() : now.primary();
  }

  /** Returns the last known primary, whether or not it may be used now. */
  public Optional<EndpointId> lastPrimary() {
    return known.get().primary();
  }

  /** Returns the term of the primary. */
  public Term term() {
    return known.get().term();
  }

  /** Returns whether the primary is being replaced. */
  public boolean isPaused() {
    return known.get().paused();
  }

  /** Sets the primary and ends a pause; a term earlier than the known one is ignored. */
  public void lead(EndpointId primary, Term term) {
    known.updateAndGet(old -> old.led(primary, term));
  }

  /** Stops the use of the primary of this term until a primary of this or a later term is set. */
  public void pause(Term term) {
    known.updateAndGet(old -> old.term().isAfter(term) ? old : old.paused(true));
  }

  /**
   * Records the end of the primary's log.
   *
   * @param askedAt when the statement was sent whose answer carried the position
   */
  public void sawPosition(EndpointId endpoint, Instant askedAt, Position position) {
    known.updateAndGet(old -> old.withPosition(endpoint, askedAt, position));
  }

  /** Returns the earliest position that includes all writes acknowledged before a moment. */
  public Optional<Position> including(Instant moment) {
    return known.get().history().including(moment);
  }

  private record Known(
      Optional<EndpointId> primary, Term term, boolean paused, PrimaryHistory history) {
    Known led(EndpointId leader, Term newTerm) {
      if (term.isAfter(newTerm)) {
        return this;
      }
      boolean same = term.equals(newTerm) && primary.equals(Optional.of(leader));
      return same
          ? new Known(primary, term, false, history)
          : new Known(Optional.of(leader), newTerm, false, PrimaryHistory.empty());
    }

    Known paused(boolean nowPaused) {
      return new Known(primary, term, nowPaused, history);
    }

    Known withPosition(EndpointId endpoint, Instant askedAt, Position position) {
      if (!primary.equals(Optional.of(endpoint)) || term.isAfter(position.term())) {
        return this;
      }
      return new Known(primary, position.term(), paused, history.with(askedAt, position));
    }
  }
}
