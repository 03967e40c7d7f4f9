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

  /**
   * Returns whether a transaction that began at an endpoint as the primary may go on there: until a
   * replacement no longer relies on the endpoint to end it.
   */
  boolean allowsOpenTransactions(EndpointId endpoint) {
    Snapshot now = state.get();
    return now.primary().equals(Optional.of(endpoint))
        && now.pause().map(Pause::planned).orElse(true);
  }

  /** Returns the last known primary, whether or not it may be used now. */
  public Optional<EndpointId> lastPrimary() {
    return state.get().primary();
  }

  /**
   * Returns whether answers of an endpoint are those of the primary: it is the last known one, and
   * no replacement of it can have ended that this proxy was not asked to confirm.
   */
  boolean isReliablePrimary(EndpointId endpoint) {
    Snapshot now = state.get();
    return now.primary().equals(Optional.of(endpoint))
        && now.pause().map(pause -> pause.planned() || !pause.unconfirmed()).orElse(true);
  }

  /**
   * Notes that a replacement in progress may have begun, and may end, without this proxy: it had no
   * right to use the primary when the replacement was found.
   */
  public void distrustReplacedPrimary() {
    state.updateAndGet(Snapshot::withUnconfirmedPause);
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
        now.pause().map(pause -> pause.since().plus(USUAL_REPLACEMENT_TIME)).orElse(Instant.MAX);
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
   * @param replacement whether the primary is being replaced; new work must not use it then
   * @param version the version of the record
   */
  public void followRecord(
      Optional<EndpointId> primary, Term term, ReplacementKind replacement, StoreVersion version) {
    Instant now = clock.instant();
    state.updateAndGet(old -> old.withRecord(primary, term, replacement, version, now));
  }

  /** Stops the use of the primary of this term until a primary of this or a later term is set. */
  public void pause(Term term) {
    Instant now = clock.instant();
    Pause pause = new Pause(now, false, false);
    state.updateAndGet(old -> old.term().isAfter(term) ? old : old.withPause(pause));
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

  /**
   * A pause of the use of the primary.
   *
   * @param planned whether open transactions may go on, because the primary is fenced first
   * @param unconfirmed whether the replacement may end without a confirmation of this proxy
   */
  private record Pause(Instant since, boolean planned, boolean unconfirmed) {}

  private record Snapshot(
      Optional<EndpointId> primary,
      Term term,
      Optional<Pause> pause,
      boolean unreachable,
      StoreVersion recordVersion,
      PrimaryPositionHistory history) {
    boolean isUsable() {
      return pause.isEmpty() && !unreachable;
    }

    Snapshot withRecord(
        Optional<EndpointId> recorded,
        Term recordedTerm,
        ReplacementKind replacement,
        StoreVersion version,
        Instant now) {
      if (recordVersion.isAfter(version)) {
        return this;
      }
      Snapshot known = new Snapshot(primary, term, pause, unreachable, version, history);
      if (replacement != ReplacementKind.NONE) {
        Pause newPause = new Pause(now, replacement == ReplacementKind.PLANNED, false);
        return term.isAfter(recordedTerm) ? known : known.withPause(newPause);
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

    /** A pause that goes on keeps its begin, and remains unconfirmed. */
    Snapshot withPause(Pause next) {
      Instant since = pause.map(Pause::since).orElse(next.since());
      boolean unconfirmed = pause.map(Pause::unconfirmed).orElse(false);
      return withMergedPause(new Pause(since, next.planned(), unconfirmed));
    }

    Snapshot withUnconfirmedPause() {
      return pause
          .map(known -> withMergedPause(new Pause(known.since(), known.planned(), true)))
          .orElse(this);
    }

    private Snapshot withMergedPause(Pause merged) {
      return new Snapshot(primary, term, Optional.of(merged), unreachable, recordVersion, history);
    }

    Snapshot withUnreachable(EndpointId endpoint, boolean nowUnreachable) {
      return primary.equals(Optional.of(endpoint))
          ? new Snapshot(primary, term, pause, nowUnreachable, recordVersion, history)
          : this;
    }

    Snapshot withPosition(EndpointId endpoint, Instant askedAt, Position position) {
      if (!primary.equals(Optional.of(endpoint)) || term.isAfter(position.term())) {
        return this;
      }
      return new Snapshot(
          primary,
          position.term(),
          pause,
          unreachable,
          recordVersion,
          history.with(askedAt, position));
    }
  }
}
