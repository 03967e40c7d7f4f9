package org.mimosacleat.core.acknowledgement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;

/**
 * What the polls of one term have proven so far; immutable.
 *
 * @param reign the term
 * @param answers the latest answer of each member
 * @param confirmed enough replicas hold the log up to here
 * @param open whether writes may be acknowledged
 */
record Confirmation(
    Reign reign, Map<EndpointId, PollAnswer> answers, Position confirmed, boolean open) {

  static Confirmation none(Reign reign) {
    return new Confirmation(reign, Map.of(), Position.NONE, true);
  }

  Confirmation with(PollAnswer answer) {
    PollAnswer known = answers.get(answer.endpoint());
    boolean late = known != null && known.askedAt().isAfter(answer.askedAt());
    if (late || !reign.members().contains(answer.endpoint())) {
      return this;
    }
    Map<EndpointId, PollAnswer> latest = new HashMap<>(answers);
    latest.put(answer.endpoint(), answer);
    return new Confirmation(
        reign, Map.copyOf(latest), Position.latest(confirmed, confirmedBy(latest)), open);
  }

  Confirmation closed() {
    return new Confirmation(reign, answers, confirmed, false);
  }

  boolean accepts(Position commit) {
    return open && commit.term().equals(reign.term());
  }

  boolean confirms(Position commit) {
    return accepts(commit) && isHeldByMajority(commit);
  }

  private boolean isHeldByMajority(Position commit) {
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
