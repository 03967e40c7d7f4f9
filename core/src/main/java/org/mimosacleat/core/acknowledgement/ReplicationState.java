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
    Reign reign, Map<EndpointId, PollAnswer> answers, Position confirmed, boolean open) {

  static ReplicationState none(Reign reign) {
    return new ReplicationState(reign, Map.of(), Position.NONE, true);
  }

  ReplicationState with(PollAnswer answer) {
    PollAnswer previous = answers.get(answer.endpoint());
    boolean isOutdated = previous != null && previous.askedAt().isAfter(answer.askedAt());
    if (isOutdated || !reign.members().contains(answer.endpoint())) {
      return this;
    }
    Map<EndpointId, PollAnswer> latest = new HashMap<>(answers);
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
    return reign.confirmationsNeeded() == 0 || confirmed.includes(commit);
  }

  private Position confirmedBy(Map<EndpointId, PollAnswer> latest) {
    List<Position> received =
        latest.values().stream()
            .filter(answer -> reign.isReplica(answer.endpoint()) && isUnfenced(answer))
            .map(PollAnswer::received)
            .filter(position -> position.term().equals(reign.term()))
            .sorted(Comparator.reverseOrder())
            .toList();
    int needed = reign.confirmationsNeeded();
    return needed == 0 || received.size() < needed ? Position.NONE : received.get(needed - 1);
  }

  private boolean isUnfenced(PollAnswer answer) {
    return !answer.fencedAt().isAfter(reign.term());
  }
}
