package org.mimosacleat.core.promotion;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.mimosacleat.core.acknowledgement.PollResponse;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Term;

/**
 * What the home has learned about the endpoints since it gained the lease: consecutive missed
 * polls, the highest term observed, and the endpoints that are leaving.
 */
final class EndpointObservations {
  private final Map<EndpointId, Integer> missedPolls = new HashMap<>();
  private final Set<EndpointId> leaving = new HashSet<>();
  private Term highestTerm = new Term(0);

  void recordPollResponse(PollResponse response) {
    missedPolls.remove(response.endpoint());
    observeTerm(response.fencedAt());
    observeTerm(response.received().term());
  }

  void recordMissedPoll(EndpointId endpoint) {
    missedPolls.merge(endpoint, 1, Integer::sum);
  }

  void observeTerm(Term term) {
    if (term.isAfter(highestTerm)) {
      highestTerm = term;
    }
  }

  void markLeaving(EndpointId endpoint) {
    leaving.add(endpoint);
  }

  int missedPolls(EndpointId endpoint) {
    return missedPolls.getOrDefault(endpoint, 0);
  }

  void resetMissedPolls(EndpointId endpoint) {
    missedPolls.remove(endpoint);
  }

  Set<EndpointId> leaving() {
    return Set.copyOf(leaving);
  }

  Term highestTerm() {
    return highestTerm;
  }
}
