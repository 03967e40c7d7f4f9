package org.mimosacleat.lab.fuzz;

import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.mimosacleat.core.acknowledgement.PollResponse;
import org.mimosacleat.core.acknowledgement.TermMembership;
import org.mimosacleat.core.group.EndpointSnapshot;
import org.mimosacleat.core.group.EndpointState;
import org.mimosacleat.core.group.GroupSnapshot;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.routing.PrimaryPositionHistory;

/** What a home knows of its group, kept in the way of the proxy's group state. */
final class GroupPicture {
  private GroupSnapshot snapshot;
  private PrimaryPositionHistory history = PrimaryPositionHistory.empty();

  GroupPicture(GroupSnapshot snapshot) {
    this.snapshot = snapshot;
  }

  GroupSnapshot snapshot() {
    return snapshot;
  }

  PrimaryPositionHistory history() {
    return history;
  }

  void announced(TermMembership reign) {
    publish(reign.term(), Optional.of(reign.primary()), snapshot.endpoints());
    history = PrimaryPositionHistory.empty();
  }

  void primaryLost() {
    publish(snapshot.term(), Optional.empty(), snapshot.endpoints());
  }

  void answered(PollResponse answer) {
    boolean ownPrimary =
        snapshot.isPrimary(answer.endpoint()) && answer.received().term().equals(snapshot.term());
    if (ownPrimary) {
      history = history.with(answer.askedAt(), answer.received());
    }
    update(
        answer.endpoint(),
        view ->
            new EndpointSnapshot(
                view.id(),
                view.zone(),
                view.state() == EndpointState.LEAVING ? EndpointState.LEAVING : EndpointState.LIVE,
                answer.received(),
                answer.replayed(),
                answer.askedAt()));
  }

  void failed(EndpointId endpoint) {
    update(
        endpoint,
        view ->
            view.state() == EndpointState.LEAVING ? view : inState(view, EndpointState.SUSPECT));
  }

  void leaving(EndpointId endpoint) {
    update(endpoint, view -> inState(view, EndpointState.LEAVING));
  }

  static EndpointSnapshot inState(EndpointSnapshot view, EndpointState state) {
    return new EndpointSnapshot(
        view.id(), view.zone(), state, view.received(), view.replayed(), view.askedAt());
  }

  private void update(EndpointId endpoint, UnaryOperator<EndpointSnapshot> change) {
    List<EndpointSnapshot> views =
        snapshot.endpoints().stream()
            .map(view -> view.id().equals(endpoint) ? change.apply(view) : view)
            .toList();
    publish(snapshot.term(), snapshot.primary(), views);
  }

  private void publish(Term term, Optional<EndpointId> primary, List<EndpointSnapshot> views) {
    snapshot = new GroupSnapshot(snapshot.group(), term, primary, views);
  }
}
