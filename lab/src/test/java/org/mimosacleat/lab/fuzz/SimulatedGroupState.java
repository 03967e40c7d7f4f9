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

/** The state of a group as its home knows it, updated like the proxy's {@code GroupState}. */
final class SimulatedGroupState {
  private GroupSnapshot snapshot;
  private PrimaryHistory history = PrimaryHistory.empty();

  SimulatedGroupState(GroupSnapshot snapshot) {
    this.snapshot = snapshot;
  }

  GroupSnapshot snapshot() {
    return snapshot;
  }

  PrimaryHistory history() {
    return history;
  }

  void primaryAnnounced(Reign reign) {
    publish(reign.term(), Optional.of(reign.primary()), snapshot.endpoints());
    history = PrimaryHistory.empty();
  }

  void primaryWithdrawn() {
    publish(snapshot.term(), Optional.empty(), snapshot.endpoints());
  }

  void pollAnswered(PollAnswer answer) {
    boolean isFromPrimary =
        snapshot.isPrimary(answer.endpoint()) && answer.received().term().equals(snapshot.term());
    if (isFromPrimary) {
      history = history.with(answer.askedAt(), answer.received());
    }
    update(
        answer.endpoint(),
        member ->
            new EndpointView(
                member.id(),
                member.zone(),
                member.state() == EndpointState.LEAVING
                    ? EndpointState.LEAVING
                    : EndpointState.LIVE,
                answer.received(),
                answer.replayed(),
                answer.askedAt()));
  }

  void pollFailed(EndpointId endpoint) {
    update(
        endpoint,
        member ->
            member.state() == EndpointState.LEAVING
                ? member
                : withState(member, EndpointState.SUSPECT));
  }

  void endpointLeaving(EndpointId endpoint) {
    update(endpoint, member -> withState(member, EndpointState.LEAVING));
  }

  static EndpointView withState(EndpointView member, EndpointState state) {
    return new EndpointView(
        member.id(), member.zone(), state, member.received(), member.replayed(), member.askedAt());
  }

  private void update(EndpointId endpoint, UnaryOperator<EndpointView> change) {
    List<EndpointView> members =
        snapshot.endpoints().stream()
            .map(member -> member.id().equals(endpoint) ? change.apply(member) : member)
            .toList();
    publish(snapshot.term(), snapshot.primary(), members);
  }

  private void publish(Term term, Optional<EndpointId> primary, List<EndpointView> members) {
    snapshot = new GroupSnapshot(snapshot.group(), term, primary, members);
  }
}
