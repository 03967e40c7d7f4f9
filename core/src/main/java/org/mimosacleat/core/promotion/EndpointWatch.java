package org.mimosacleat.core.promotion;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.mimosacleat.core.acknowledgement.PollAnswer;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Term;

/** What the polls of one home have shown: polls missed in a row, terms seen, who is leaving. */
final class EndpointWatch {
  private final Map<EndpointId, Integer> missed = new HashMap<>();
  private final Set<EndpointId> leaving = new HashSet<>();
  private Term highest = new Term(0);

  void answered(PollAnswer answer) {
    missed.remove(answer.endpoint());
    seen(answer.fencedAt());
    seen(answer.received().term());
  }

  void failed(EndpointId endpoint) {
    missed.merge(endpoint, 1, Integer::sum);
  }

  void seen(Term term) {
    if (term.isAfter(highest)) {
      highest = term;
    }
  }

  void listedAsLeaving(EndpointId endpoint) {
    leaving.add(endpoint);
  }

  int missed(EndpointId endpoint) {
    return missed.getOrDefault(endpoint, 0);
  }

  void forgetMissed(EndpointId endpoint) {
    missed.remove(endpoint);
  }

  Set<EndpointId> leaving() {
    return Set.copyOf(leaving);
  }

  Term highestTerm() {
    return highest;
  }
}
