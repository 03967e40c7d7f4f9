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
 * What the home of a group knows, published as immutable pictures. Watchers report answers and
 * failures; requests read {@link #knowledge} and wait on {@link #nextChange}.
 */
final class GroupState {
  private final AtomicReference<Picture> picture;
  private final AcknowledgementTracker tracker;
  private final SessionPositions positions;
  private final LeaseStatus lease;
  private final ChangeSignal changes = new ChangeSignal();

  GroupState(
      GroupSnapshot initial,
      AcknowledgementTracker tracker,
      SessionPositions positions,
      LeaseStatus lease) {
    this.picture = new AtomicReference<>(new Picture(initial, PrimaryPositionHistory.empty()));
    this.tracker = tracker;
    this.positions = positions;
    this.lease = lease;
  }

  /** Returns what a request is routed on. */
  GroupRoutingState knowledge() {
    Picture current = picture.get();
    return new GroupRoutingState(
        current.snapshot(), current.history(), positions.highest(), lease.isHeld());
  }

  GroupSnapshot snapshot() {
    return picture.get().snapshot();
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
   * Serves with this primary from now on.
   *
   * @param position includes every write that was acknowledged before
   */
  void announced(TermMembership reign, Position position) {
    tracker.startTerm(reign);
    positions.setFloor(position);
    update(
        current ->
            new Picture(withPrimary(current.snapshot(), reign), PrimaryPositionHistory.empty()));
  }

  /** Withdraws the primary while a promotion is under way. */
  void primaryLost() {
    tracker.suspend();
    update(
        current ->
            new Picture(
                new GroupSnapshot(
                    current.snapshot().group(),
                    current.snapshot().term(),
                    Optional.empty(),
                    current.snapshot().endpoints()),
                current.history()));
  }

  /** Takes in what an endpoint answered. */
  void answered(PollResponse answer) {
    tracker.applyPollResponse(answer);
    update(current -> current.with(answer));
  }

  /** Marks an endpoint as one that does not answer. */
  void failed(EndpointId endpoint) {
    update(current -> current.withState(endpoint, EndpointState.SUSPECT));
  }

  /** Marks an endpoint as leaving. */
  void leaving(EndpointId endpoint) {
    update(current -> current.withState(endpoint, EndpointState.LEAVING));
  }

  /** Gives work again to an endpoint that is not leaving any more. */
  void stays(EndpointId endpoint) {
    update(current -> current.staying(endpoint));
  }

  /** Returns the endpoints of the group. */
  Set<EndpointId> members() {
    return snapshot().endpoints().stream().map(EndpointSnapshot::id).collect(Collectors.toSet());
  }

  private Picture update(UnaryOperator<Picture> change) {
    Picture after = picture.updateAndGet(change);
    changes.fire();
    return after;
  }

  private static GroupSnapshot withPrimary(GroupSnapshot snapshot, TermMembership reign) {
    return new GroupSnapshot(
        snapshot.group(), reign.term(), Optional.of(reign.primary()), snapshot.endpoints());
  }

  /**
   * One immutable picture.
   *
   * @param snapshot the group
   * @param history the proven positions of the primary of the snapshot's term
   */
  private record Picture(GroupSnapshot snapshot, PrimaryPositionHistory history) {
    boolean isOwnPrimary(PollResponse answer) {
      return snapshot.isPrimary(answer.endpoint())
          && answer.received().term().equals(snapshot.term());
    }

    Picture with(PollResponse answer) {
      Instant askedAt = answer.askedAt();
      List<EndpointSnapshot> views =
          snapshot.endpoints().stream()
              .map(view -> view.id().equals(answer.endpoint()) ? updated(view, answer) : view)
              .toList();
      PrimaryPositionHistory longer =
          isOwnPrimary(answer) ? history.with(askedAt, answer.received()) : history;
      return new Picture(withViews(views), longer);
    }

    private static EndpointSnapshot updated(EndpointSnapshot view, PollResponse answer) {
      EndpointState state =
          view.state() == EndpointState.LEAVING ? EndpointState.LEAVING : EndpointState.LIVE;
      return new EndpointSnapshot(
          view.id(), view.zone(), state, answer.received(), answer.replayed(), answer.askedAt());
    }

    Picture staying(EndpointId endpoint) {
      // It counts as suspect until it answers the next poll.
      List<EndpointSnapshot> views =
          snapshot.endpoints().stream()
              .map(view -> view.id().equals(endpoint) ? suspect(view) : view)
              .toList();
      return new Picture(withViews(views), history);
    }

    private static EndpointSnapshot suspect(EndpointSnapshot view) {
      return new EndpointSnapshot(
          view.id(),
          view.zone(),
          EndpointState.SUSPECT,
          view.received(),
          view.replayed(),
          view.askedAt());
    }

    Picture withState(EndpointId endpoint, EndpointState state) {
      List<EndpointSnapshot> views =
          snapshot.endpoints().stream()
              .map(view -> view.id().equals(endpoint) ? inState(view, state) : view)
              .toList();
      return new Picture(withViews(views), history);
    }

    private static EndpointSnapshot inState(EndpointSnapshot view, EndpointState state) {
      boolean keepsLeaving =
          view.state() == EndpointState.LEAVING && state == EndpointState.SUSPECT;
      return new EndpointSnapshot(
          view.id(),
          view.zone(),
          keepsLeaving ? EndpointState.LEAVING : state,
          view.received(),
          view.replayed(),
          view.askedAt());
    }

    private GroupSnapshot withViews(List<EndpointSnapshot> views) {
      return new GroupSnapshot(snapshot.group(), snapshot.term(), snapshot.primary(), views);
    }
  }
}
