package org.mimosacleat.proxy.home;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.mimosacleat.core.acknowledgement.AcknowledgementTracker;
import org.mimosacleat.core.acknowledgement.LeaseStatus;
import org.mimosacleat.core.acknowledgement.PollResponse;
import org.mimosacleat.core.acknowledgement.TermMembership;
import org.mimosacleat.core.group.EndpointSnapshot;
import org.mimosacleat.core.group.EndpointState;
import org.mimosacleat.core.group.GroupSnapshot;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.routing.GroupRoutingState;
import org.mimosacleat.core.routing.PrimaryPositionHistory;
import org.mimosacleat.core.session.SessionPositions;

/**
 * What the home of a group knows of it, published as immutable snapshots. Endpoint monitors report
 * poll answers and failures; requests read {@link #knowledge} and wait on {@link #nextChange}.
 */
final class GroupState {
  private final AtomicReference<Snapshot> current;
  private final AcknowledgementTracker tracker;
  private final SessionPositions positions;
  private final LeaseStatus lease;
  private final ChangeSignal changes = new ChangeSignal();

  GroupState(
      GroupSnapshot initial,
      AcknowledgementTracker tracker,
      SessionPositions positions,
      LeaseStatus lease) {
    this.current = new AtomicReference<>(new Snapshot(initial, PrimaryPositionHistory.empty()));
    this.tracker = tracker;
    this.positions = positions;
    this.lease = lease;
  }

  /** Returns the current knowledge for routing a request. */
  GroupRoutingState knowledge() {
    Snapshot snapshot = current.get();
    return new GroupRoutingState(
        snapshot.group(), snapshot.primaryHistory(), positions.highest(), lease.isHeld());
  }

  GroupSnapshot snapshot() {
    return current.get().group();
  }

  CompletableFuture<Void> nextChange() {
    return changes.next();
  }

  AcknowledgementTracker tracker() {
    return tracker;
  }

  SessionPositions positions() {
    return positions;
  }

  /**
   * Sets the primary that serves from now on.
   *
   * @param position a log position that includes every write acknowledged before
   */
  void setPrimary(TermMembership membership, Position position) {
    tracker.startTerm(membership);
    positions.setFloor(position);
    update(
        before ->
            new Snapshot(withPrimary(before.group(), membership), PrimaryPositionHistory.empty()));
  }

  /** Clears the primary, when a promotion begins. */
  void clearPrimary() {
    tracker.suspend();
    update(
        before ->
            new Snapshot(
                new GroupSnapshot(
                    before.group().group(),
                    before.group().term(),
                    Optional.empty(),
                    before.group().endpoints()),
                before.primaryHistory()));
  }

  /** Clears what may change while another VM is the home. */
  void endService() {
    clearPrimary();
    positions.clearFloor();
  }

  /** Applies the answer of an endpoint to a poll. */
  void applyPollAnswer(PollResponse answer) {
    tracker.applyPollResponse(answer);
    update(before -> before.withPollAnswer(answer));
  }

  /** Marks an endpoint as suspect because it does not answer. */
  void markSuspect(EndpointId endpoint) {
    update(before -> before.withEndpointState(endpoint, EndpointState.SUSPECT));
  }

  /** Marks an endpoint as leaving. */
  void markLeaving(EndpointId endpoint) {
    update(before -> before.withEndpointState(endpoint, EndpointState.LEAVING));
  }

  /** Makes an endpoint that is no longer leaving available for requests again. */
  void clearLeaving(EndpointId endpoint) {
    update(before -> before.withoutLeaving(endpoint));
  }

  /** Returns the endpoints of the group. */
  Set<EndpointId> members() {
    return snapshot().endpoints().stream().map(EndpointSnapshot::id).collect(Collectors.toSet());
  }

  private Snapshot update(UnaryOperator<Snapshot> change) {
    Snapshot after = current.updateAndGet(change);
    changes.fire();
    return after;
  }

  private static GroupSnapshot withPrimary(GroupSnapshot snapshot, TermMembership membership) {
    return new GroupSnapshot(
        snapshot.group(),
        membership.term(),
        Optional.of(membership.primary()),
        snapshot.endpoints());
  }

  /**
   * An immutable snapshot of the state.
   *
   * @param group the term, primary and endpoints of the group
   * @param primaryHistory the proven positions of the primary of the snapshot's term
   */
  private record Snapshot(GroupSnapshot group, PrimaryPositionHistory primaryHistory) {
    boolean isFromCurrentPrimary(PollResponse answer) {
      return group.isPrimary(answer.endpoint()) && answer.received().term().equals(group.term());
    }

    Snapshot withPollAnswer(PollResponse answer) {
      Instant askedAt = answer.askedAt();
      List<EndpointSnapshot> endpoints =
          group.endpoints().stream()
              .map(
                  endpointSnapshot ->
                      endpointSnapshot.id().equals(answer.endpoint())
                          ? applyAnswer(endpointSnapshot, answer)
                          : endpointSnapshot)
              .toList();
      PrimaryPositionHistory updatedHistory =
          isFromCurrentPrimary(answer)
              ? primaryHistory.with(askedAt, answer.received())
              : primaryHistory;
      return new Snapshot(withEndpoints(endpoints), updatedHistory);
    }

    private static EndpointSnapshot applyAnswer(
        EndpointSnapshot endpointSnapshot, PollResponse answer) {
      EndpointState state =
          endpointSnapshot.state() == EndpointState.LEAVING
              ? EndpointState.LEAVING
              : EndpointState.LIVE;
      return new EndpointSnapshot(
          endpointSnapshot.id(),
          endpointSnapshot.zone(),
          state,
          answer.received(),
          answer.replayed(),
          answer.askedAt());
    }

    Snapshot withoutLeaving(EndpointId endpoint) {
      // The endpoint is suspect until it answers a poll.
      List<EndpointSnapshot> endpoints =
          group.endpoints().stream()
              .map(
                  endpointSnapshot ->
                      endpointSnapshot.id().equals(endpoint)
                          ? asSuspect(endpointSnapshot)
                          : endpointSnapshot)
              .toList();
      return new Snapshot(withEndpoints(endpoints), primaryHistory);
    }

    private static EndpointSnapshot asSuspect(EndpointSnapshot endpointSnapshot) {
      return new EndpointSnapshot(
          endpointSnapshot.id(),
          endpointSnapshot.zone(),
          EndpointState.SUSPECT,
          endpointSnapshot.received(),
          endpointSnapshot.replayed(),
          endpointSnapshot.askedAt());
    }

    Snapshot withEndpointState(EndpointId endpoint, EndpointState state) {
      List<EndpointSnapshot> endpoints =
          group.endpoints().stream()
              .map(
                  endpointSnapshot ->
                      endpointSnapshot.id().equals(endpoint)
                          ? applyState(endpointSnapshot, state)
                          : endpointSnapshot)
              .toList();
      return new Snapshot(withEndpoints(endpoints), primaryHistory);
    }

    private static EndpointSnapshot applyState(
        EndpointSnapshot endpointSnapshot, EndpointState state) {
      boolean staysLeaving =
          endpointSnapshot.state() == EndpointState.LEAVING && state == EndpointState.SUSPECT;
      return new EndpointSnapshot(
          endpointSnapshot.id(),
          endpointSnapshot.zone(),
          staysLeaving ? EndpointState.LEAVING : state,
          endpointSnapshot.received(),
          endpointSnapshot.replayed(),
          endpointSnapshot.askedAt());
    }

    private GroupSnapshot withEndpoints(List<EndpointSnapshot> endpoints) {
      return new GroupSnapshot(group.group(), group.term(), group.primary(), endpoints);
    }
  }
}
