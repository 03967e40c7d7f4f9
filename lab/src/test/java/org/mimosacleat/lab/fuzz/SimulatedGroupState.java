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

/** The state of a group as its home knows it, updated like the proxy's {@code GroupState}. */
final class SimulatedGroupState {
  private GroupSnapshot snapshot;
  private PrimaryPositionHistory history = PrimaryPositionHistory.empty();

  SimulatedGroupState(GroupSnapshot snapshot) {
    this.snapshot = snapshot;
  }

  GroupSnapshot snapshot() {
    return snapshot;
  }

  PrimaryPositionHistory history() {
    return history;
  }

  void primaryAnnounced(TermMembership membership) {
    publish(membership.term(), Optional.of(membership.primary()), snapshot.endpoints());
    history = PrimaryPositionHistory.empty();
  }

  void clearPrimary() {
    publish(snapshot.term(), Optional.empty(), snapshot.endpoints());
  }

  void pollAnswered(PollResponse response) {
    boolean isFromPrimary =
        snapshot.isPrimary(response.endpoint())
            && response.received().term().equals(snapshot.term());
    if (isFromPrimary) {
      history = history.with(response.askedAt(), response.received());
    }
    update(
        response.endpoint(),
        member ->
            new EndpointSnapshot(
                member.id(),
                member.zone(),
                member.state() == EndpointState.LEAVING
                    ? EndpointState.LEAVING
                    : EndpointState.LIVE,
                response.received(),
                response.replayed(),
                response.askedAt()));
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

  static EndpointSnapshot withState(EndpointSnapshot member, EndpointState state) {
    return new EndpointSnapshot(
        member.id(), member.zone(), state, member.received(), member.replayed(), member.askedAt());
  }

  private void update(EndpointId endpoint, UnaryOperator<EndpointSnapshot> change) {
    List<EndpointSnapshot> members =
        snapshot.endpoints().stream()
            .map(member -> member.id().equals(endpoint) ? change.apply(member) : member)
            .toList();
    publish(snapshot.term(), snapshot.primary(), members);
  }

  private void publish(Term term, Optional<EndpointId> primary, List<EndpointSnapshot> members) {
    snapshot = new GroupSnapshot(snapshot.group(), term, primary, members);
  }
}
