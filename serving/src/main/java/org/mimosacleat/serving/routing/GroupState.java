package org.mimosacleat.serving.routing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.routing.PrimaryPositionHistory;
import org.mimosacleat.serving.version.StoreVersion;

/** What this proxy knows of one group's primary and of the positions of its log. */
public final class GroupState {
  /** Longer than a replacement of a primary takes that nothing delays. */
  private static final Duration USUAL_REPLACEMENT_TIME = Duration.ofMillis(2_000);

  private final InstantSource clock;
  private final AtomicReference<Snapshot> state =
      new AtomicReference<>(
          new Snapshot(
              Optional.empty(),
              new Term(0),
              Optional.empty(),
              false,
              StoreVersion.NONE,
              PrimaryPositionHistory.empty()));

  GroupState(InstantSource clock) {
    this.clock = clock;
  }

  /** Returns the endpoint that may be used as primary now. */
  public Optional<EndpointId> primary() {
    Snapshot now = state.get();
    return now.isUsable() ? now.primary() : Optional.empty();
  }

  /** Returns the last known primary, whether or not it may be used now. */
  public Optional<EndpointId> lastPrimary() {
    return state.get().primary();
  }

  /** Returns the term of the primary. */
  public Term term() {
    return state.get().term();
  }

  /** Returns whether this proxy does not reach the primary, while it reaches other endpoints. */
  public boolean isUnreachable() {
    return state.get().unreachable();
  }

  /**
   * Returns whether the primary can't be used, and this is not expected to end soon: statements
   * that need it are then refused at once.
   */
  public boolean isUnavailable() {
    Snapshot now = state.get();
    Instant usualEnd =
        now.pausedSince().map(since -> since.plus(USUAL_REPLACEMENT_TIME)).orElse(Instant.MAX);
    return now.unreachable() || clock.instant().isAfter(usualEnd);
  }

  /** Stops the use of the primary until it is reached again or replaced. */
  public void markUnreachable(EndpointId primary) {
    state.updateAndGet(old -> old.withUnreachable(primary, true));
  }

  /** Allows the use of the primary again, which has answered. */
  public void markReachable(EndpointId primary) {
    state.updateAndGet(old -> old.withUnreachable(primary, false));
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
    Instant now = clock.instant();
    state.updateAndGet(old -> old.withRecord(primary, term, replacing, version, now));
  }

  /** Stops the use of the primary of this term until a primary of this or a later term is set. */
  public void pause(Term term) {
    Instant now = clock.instant();
    state.updateAndGet(old -> old.term().isAfter(term) ? old : old.withPause(now));
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
      Optional<Instant> pausedSince,
      boolean unreachable,
      StoreVersion recordVersion,
      PrimaryPositionHistory history) {
    boolean isUsable() {
      return pausedSince.isEmpty() && !unreachable;
    }

    Snapshot withRecord(
        Optional<EndpointId> recorded,
        Term recordedTerm,
        boolean replacing,
        StoreVersion version,
        Instant now) {
      if (recordVersion.isAfter(version)) {
        return this;
      }
      Snapshot known = new Snapshot(primary, term, pausedSince, unreachable, version, history);
      if (replacing) {
        return term.isAfter(recordedTerm) ? known : known.withPause(now);
      }
      return recorded.map(endpoint -> known.withPrimary(endpoint, recordedTerm)).orElse(known);
    }

    Snapshot withPrimary(EndpointId newPrimary, Term newTerm) {
      if (term.isAfter(newTerm)) {
        return this;
      }
      boolean same = term.equals(newTerm) && primary.equals(Optional.of(newPrimary));
      return same
          ? new Snapshot(primary, term, Optional.empty(), unreachable, recordVersion, history)
          : new Snapshot(
              Optional.of(newPrimary),
              newTerm,
              Optional.empty(),
              false,
              recordVersion,
              PrimaryPositionHistory.empty());
    }

    Snapshot withPause(Instant now) {
      Instant since = pausedSince.orElse(now);
      return new Snapshot(primary, term, Optional.of(since), unreachable, recordVersion, history);
    }

    Snapshot withUnreachable(EndpointId endpoint, boolean nowUnreachable) {
      return primary.equals(Optional.of(endpoint))
          ? new Snapshot(primary, term, pausedSince, nowUnreachable, recordVersion, history)
          : this;
    }

    Snapshot withPosition(EndpointId endpoint, Instant askedAt, Position position) {
      if (!primary.equals(Optional.of(endpoint)) || term.isAfter(position.term())) {
        return this;
      }
      return new Snapshot(
          primary,
          position.term(),
          pausedSince,
          unreachable,
          recordVersion,
          history.with(askedAt, position));
    }
  }
}
