package org.mimosacleat.core.acknowledgement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;

/**
 * The replication state of one term as shown by polls so far; immutable.
 *
 * @param membership the term
 * @param responses the latest answer of each member
 * @param confirmed the position up to which enough replicas store the log
 * @param open whether writes may be acknowledged
 */
record ReplicationState(
    TermMembership membership,
    Map<EndpointId, PollResponse> responses,
    Position confirmed,
    boolean open) {

  static ReplicationState none(TermMembership membership) {
    return new ReplicationState(membership, Map.of(), Position.NONE, true);
  }

  ReplicationState with(PollResponse response) {
    PollResponse previous = responses.get(response.endpoint());
    boolean isOutdated = previous != null && previous.askedAt().isAfter(response.askedAt());
    if (isOutdated || !membership.members().contains(response.endpoint())) {
      return this;
    }
    Map<EndpointId, PollResponse> latest = new HashMap<>(responses);
    latest.put(response.endpoint(), response);
    return new ReplicationState(
        membership, Map.copyOf(latest), Position.latest(confirmed, confirmedBy(latest)), open);
  }

  ReplicationState closed() {
    return new ReplicationState(membership, responses, confirmed, false);
  }

  boolean accepts(Position commit) {
    return open && commit.term().equals(membership.term());
  }

  boolean confirms(Position commit) {
    return accepts(commit) && isOnMajority(commit);
  }

  private boolean isOnMajority(Position commit) {
    return membership.requiredConfirmations() == 0 || confirmed.includes(commit);
  }

  private Position confirmedBy(Map<EndpointId, PollResponse> latest) {
    List<Position> received =
        latest.values().stream()
            .filter(response -> membership.isReplica(response.endpoint()) && isUnfenced(response))
            .map(PollResponse::received)
            .filter(position -> position.term().equals(membership.term()))
            .sorted(Comparator.reverseOrder())
            .toList();
    int needed = membership.requiredConfirmations();
    return needed == 0 || received.size() < needed ? Position.NONE : received.get(needed - 1);
  }

  private boolean isUnfenced(PollResponse response) {
    return !response.fencedAt().isAfter(membership.term());
  }
}
