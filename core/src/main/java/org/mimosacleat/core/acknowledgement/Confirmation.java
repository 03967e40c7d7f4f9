package org.mimosacleat.core.acknowledgement;

import java.time.Duration;
import java.time.Instant;
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
 * @param provenAt at this moment no later term had fenced a majority of the members
 */
record Confirmation(
    Reign reign, Map<EndpointId, PollAnswer> answers, Position confirmed, Instant provenAt) {

  static Confirmation none(Reign reign) {
    return new Confirmation(reign, Map.of(), Position.NONE, Instant.MIN);
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
        reign,
        Map.copyOf(latest),
        Position.latest(confirmed, confirmedBy(latest)),
        laterOf(provenAt, provenBy(latest)));
  }

  boolean confirms(Position commit) {
    return commit.term().equals(reign.term())
        && (reign.confirmationsNeeded() == 0 || confirmed.includes(commit));
  }

  boolean isProvenWithin(Duration lifetime, Instant now) {
    return now.isBefore(provenAt.plus(lifetime));
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

  private Instant provenBy(Map<EndpointId, PollAnswer> latest) {
    List<Instant> asked =
        latest.values().stream()
            .filter(this::isUnfenced)
            .map(PollAnswer::askedAt)
            .sorted(Comparator.reverseOrder())
            .toList();
    return asked.size() < reign.majority() ? Instant.MIN : asked.get(reign.majority() - 1);
  }

  private boolean isUnfenced(PollAnswer answer) {
    return !answer.fencedAt().isAfter(reign.term());
  }

  private static Instant laterOf(Instant first, Instant second) {
    return first.isAfter(second) ? first : second;
  }
}
