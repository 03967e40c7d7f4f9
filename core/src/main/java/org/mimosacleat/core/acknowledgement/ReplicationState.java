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
 * @param reign the term
 * @param answers the latest answer of each member
 * @param confirmed the position up to which enough replicas store the log
 * @param open whether writes may be acknowledged
 */
record ReplicationState(
    TermMembership reign, Map<EndpointId, PollResponse> answers, Position confirmed, boolean open) {

  static ReplicationState none(TermMembership reign) {
    return new ReplicationState(reign, Map.of(), Position.NONE, true);
  }

  ReplicationState with(PollResponse answer) {
    PollResponse previous = answers.get(answer.endpoint());
    boolean isOutdated = previous != null && previous.askedAt().isAfter(answer.askedAt());
    if (isOutdated || !reign.members().contains(answer.endpoint())) {
      return this;
    }
    Map<EndpointId, PollResponse> latest = new HashMap<>(answers);
    latest.put(answer.endpoint(), answer);
    return new ReplicationState(
        reign, Map.copyOf(latest), Position.latest(confirmed, confirmedBy(latest)), open);
  }

  ReplicationState closed() {
    return new ReplicationState(reign, answers, confirmed, false);
  }

  boolean accepts(Position commit) {
    return open && commit.term().equals(reign.term());
  }

  boolean confirms(Position commit) {
    return accepts(commit) && isOnMajority(commit);
  }

  private boolean isOnMajority(Position commit) {
    return reign.requiredConfirmations() == 0 || confirmed.includes(commit);
  }

  private Position confirmedBy(Map<EndpointId, PollResponse> latest) {
    List<Position> received =
        latest.values().stream()
            .filter(answer -> reign.isReplica(answer.endpoint()) && isUnfenced(answer))
            .map(PollResponse::received)
            .filter(position -> position.term().equals(reign.term()))
            .sorted(Comparator.reverseOrder())
            .toList();
    int needed = reign.requiredConfirmations();
    return needed == 0 || received.size() < needed ? Position.NONE : received.get(needed - 1);
  }

  private boolean isUnfenced(PollResponse answer) {
    return !answer.fencedAt().isAfter(reign.term());
  }
}
