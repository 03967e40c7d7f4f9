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
import org.mimosacleat.core.acknowledgement.PollAnswer;
import org.mimosacleat.core.acknowledgement.Reign;
import org.mimosacleat.core.group.EndpointState;
import org.mimosacleat.core.group.EndpointView;
import org.mimosacleat.core.group.GroupSnapshot;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.routing.GroupKnowledge;
import org.mimosacleat.core.routing.PrimaryHistory;
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
    this.picture = new AtomicReference<>(new Picture(initial, PrimaryHistory.empty()));
    this.tracker = tracker;
    this.positions = positions;
    this.lease = lease;
  }

  /** Returns what a request is routed on. */
  GroupKnowledge knowledge() {
    Picture current = picture.get();
    return new GroupKnowledge(
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
  void announced(Reign reign, Position position) {
    tracker.termStarted(reign);
    positions.takenOver(position);
    update(current -> new Picture(withPrimary(current.snapshot(), reign), PrimaryHistory.empty()));
  }

  /** Withdraws the primary while a promotion is under way. */
  void primaryLost() {
    tracker.withdrawn();
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
  void answered(PollAnswer answer) {
    tracker.answered(answer);
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
    return snapshot().endpoints().stream().map(EndpointView::id).collect(Collectors.toSet());
  }

  private Picture update(UnaryOperator<Picture> change) {
    Picture after = picture.updateAndGet(change);
    changes.fire();
    return after;
  }

  private static GroupSnapshot withPrimary(GroupSnapshot snapshot, Reign reign) {
    return new GroupSnapshot(
        snapshot.group(), reign.term(), Optional.of(reign.primary()), snapshot.endpoints());
  }

  /**
   * One immutable picture.
   *
   * @param snapshot the group
   * @param history the proven positions of the primary of the snapshot's term
   */
  private record Picture(GroupSnapshot snapshot, PrimaryHistory history) {
    boolean isOwnPrimary(PollAnswer answer) {
      return snapshot.isPrimary(answer.endpoint())
          && answer.received().term().equals(snapshot.term());
    }

    Picture with(PollAnswer answer) {
      Instant askedAt = answer.askedAt();
      List<EndpointView> views =
          snapshot.endpoints().stream()
              .map(view -> view.id().equals(answer.endpoint()) ? updated(view, answer) : view)
              .toList();
      PrimaryHistory longer =
          isOwnPrimary(answer) ? history.with(askedAt, answer.received()) : history;
      return new Picture(withViews(views), longer);
    }

    private static EndpointView updated(EndpointView view, PollAnswer answer) {
      EndpointState state =
          view.state() == EndpointState.LEAVING ? EndpointState.LEAVING : EndpointState.LIVE;
      return new EndpointView(
          view.id(), view.zone(), state, answer.received(), answer.replayed(), answer.askedAt());
    }

    Picture staying(EndpointId endpoint) {
      // It counts as suspect until it answers the next poll.
      List<EndpointView> views =
          snapshot.endpoints().stream()
              .map(view -> view.id().equals(endpoint) ? suspect(view) : view)
              .toList();
      return new Picture(withViews(views), history);
    }

    private static EndpointView suspect(EndpointView view) {
      return new EndpointView(
          view.id(),
          view.zone(),
          EndpointState.SUSPECT,
          view.received(),
          view.replayed(),
          view.askedAt());
    }

    Picture withState(EndpointId endpoint, EndpointState state) {
      List<EndpointView> views =
          snapshot.endpoints().stream()
              .map(view -> view.id().equals(endpoint) ? inState(view, state) : view)
              .toList();
      return new Picture(withViews(views), history);
    }

    private static EndpointView inState(EndpointView view, EndpointState state) {
      boolean keepsLeaving =
          view.state() == EndpointState.LEAVING && state == EndpointState.SUSPECT;
      return new EndpointView(
          view.id(),
          view.zone(),
          keepsLeaving ? EndpointState.LEAVING : state,
          view.received(),
          view.replayed(),
          view.askedAt());
    }

    private GroupSnapshot withViews(List<EndpointView> views) {
      return new GroupSnapshot(snapshot.group(), snapshot.term(), snapshot.primary(), views);
    }
  }
}
