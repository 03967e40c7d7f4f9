package org.mimosacleat.lab.fuzz;

import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.mimosacleat.core.acknowledgement.PollAnswer;
import org.mimosacleat.core.acknowledgement.Reign;
import org.mimosacleat.core.group.EndpointState;
import org.mimosacleat.core.group.EndpointView;
import org.mimosacleat.core.group.GroupSnapshot;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.routing.PrimaryHistory;

/** What a home knows of its group, kept in the way of the proxy's group state. */
final class GroupPicture {
  private GroupSnapshot snapshot;
  private PrimaryHistory history = PrimaryHistory.empty();

  GroupPicture(GroupSnapshot snapshot) {
    this.snapshot = snapshot;
  }

  GroupSnapshot snapshot() {
    return snapshot;
  }

  PrimaryHistory history() {
    return history;
  }

  void announced(Reign reign) {
    publish(reign.term(), Optional.of(reign.primary()), snapshot.endpoints());
    history = PrimaryHistory.empty();
  }

  void primaryLost() {
    publish(snapshot.term(), Optional.empty(), snapshot.endpoints());
  }

  void answered(PollAnswer answer) {
    boolean ownPrimary =
        snapshot.isPrimary(answer.endpoint()) && answer.received().term().equals(snapshot.term());
    if (ownPrimary) {
      history = history.with(answer.askedAt(), answer.received());
    }
    update(
        answer.endpoint(),
        view ->
            new EndpointView(
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

  static EndpointView inState(EndpointView view, EndpointState state) {
    return new EndpointView(
        view.id(), view.zone(), state, view.received(), view.replayed(), view.askedAt());
  }

  private void update(EndpointId endpoint, UnaryOperator<EndpointView> change) {
    List<EndpointView> views =
        snapshot.endpoints().stream()
            .map(view -> view.id().equals(endpoint) ? change.apply(view) : view)
            .toList();
    publish(snapshot.term(), snapshot.primary(), views);
  }

  private void publish(Term term, Optional<EndpointId> primary, List<EndpointView> views) {
    snapshot = new GroupSnapshot(snapshot.group(), term, primary, views);
  }
}
