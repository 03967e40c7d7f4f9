package org.mimosacleat.serving.routing;

import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.routing.PrimaryPositionHistory;
import org.mimosacleat.serving.version.StoreVersion;

/** What this proxy knows of one group's primary and of the positions of its log. */
public final class GroupState {
  private final AtomicReference<Snapshot> state =
      new AtomicReference<>(
          new Snapshot(
              Optional.empty(),
              new Term(0),
              false,
              StoreVersion.NONE,
              PrimaryPositionHistory.empty()));

  /** Returns the endpoint that may be used as primary now. */
  public Optional<EndpointId> primary() {
    Snapshot now = state.get();
    return now.paused() ? Optional.empty() : now.primary();
  }

  /** Returns the last known primary, whether or not it may be used now. */
  public Optional<EndpointId> lastPrimary() {
    return state.get().primary();
  }

  /** Returns the term of the primary. */
  public Term term() {
    return state.get().term();
  }

  /** Returns whether the primary is being replaced. */
  public boolean isPaused() {
    return state.get().paused();
  }

  /** Sets the primary and ends a pause; a term earlier than the known one is ignored. */
  public void setPrimary(EndpointId primary, Term term) {
    state.updateAndGet(old -> old.withPrimary(primary, term));
  }

  /**
   * Follows the shared record of the group. A record that is older than one followed before is
   * ignored, so that it can't end a pause.
   *
   * @param replacing whether the primary is being replaced and must not be used
   * @param version the version of the record
   */
  public void followRecord(
      Optional<EndpointId> primary, Term term, boolean replacing, StoreVersion version) {
    state.updateAndGet(old -> old.withRecord(primary, term, replacing, version));
  }

  /** Stops the use of the primary of this term until a primary of this or a later term is set. */
  public void pause(Term term) {
    state.updateAndGet(old -> old.term().isAfter(term) ? old : old.withPaused(true));
  }

  /**
   * Records the end of the primary's log.
   *
   * @param askedAt when the statement was sent whose answer carried the position
   */
  public void recordPosition(EndpointId endpoint, Instant askedAt, Position position) {
    state.updateAndGet(old -> old.withPosition(endpoint, askedAt, position));
  }

  /** Returns the earliest position that includes all writes acknowledged before a moment. */
  public Optional<Position> earliestPositionIncluding(Instant moment) {
    return state.get().history().positionIncludingWritesBefore(moment);
  }

  private record Snapshot(
      Optional<EndpointId> primary,
      Term term,
      boolean paused,
      StoreVersion recordVersion,
      PrimaryPositionHistory history) {
    Snapshot withRecord(
        Optional<EndpointId> recorded, Term recordedTerm, boolean replacing, StoreVersion version) {
      if (recordVersion.isAfter(version)) {
        return this;
      }
      Snapshot known = new Snapshot(primary, term, paused, version, history);
      if (replacing) {
        return term.isAfter(recordedTerm) ? known : known.withPaused(true);
      }
      return recorded.map(endpoint -> known.withPrimary(endpoint, recordedTerm)).orElse(known);
    }

    Snapshot withPrimary(EndpointId newPrimary, Term newTerm) {
      if (term.isAfter(newTerm)) {
        return this;
      }
      boolean same = term.equals(newTerm) && primary.equals(Optional.of(newPrimary));
      return same
          ? new Snapshot(primary, term, false, recordVersion, history)
          : new Snapshot(
              Optional.of(newPrimary),
              newTerm,
              false,
              recordVersion,
              PrimaryPositionHistory.empty());
    }

    Snapshot withPaused(boolean nowPaused) {
      return new Snapshot(primary, term, nowPaused, recordVersion, history);
    }

    Snapshot withPosition(EndpointId endpoint, Instant askedAt, Position position) {
      if (!primary.equals(Optional.of(endpoint)) || term.isAfter(position.term())) {
        return this;
      }
      return new Snapshot(
          primary, position.term(), paused, recordVersion, history.with(askedAt, position));
    }
  }
}
