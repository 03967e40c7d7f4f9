package org.mimosacleat.core.promotion;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/** Where a promotion stands; each phase is immutable. */
sealed interface PromotionPhase {
  /** This VM is not the home. */
  record Idle() implements PromotionPhase {}

  /** A new home asks a majority whether a promotion was interrupted. */
  record TakingOver(Set<EndpointId> answered) implements PromotionPhase {
    TakingOver with(EndpointId endpoint) {
      return new TakingOver(Additions.with(answered, endpoint));
    }
  }

  /** The primary answers, as far as is known. */
  record Watching() implements PromotionPhase {}

  /** The primary left a poll unanswered, and peers are asked. */
  record Suspecting(
      long round, Instant askedAt, Set<AvailabilityZone> lost, Set<AvailabilityZone> seen)
      implements PromotionPhase {
    Suspecting with(AvailabilityZone zone, boolean reachable) {
      return reachable
          ? new Suspecting(round, askedAt, lost, Additions.with(seen, zone))
          : new Suspecting(round, askedAt, Additions.with(lost, zone), seen);
    }
  }

  /** The term waits for a conditional write of the row. */
  record Claiming(Term term) implements PromotionPhase {}

  /** A majority has to be fenced. */
  record Fencing(
      Term term, Map<EndpointId, Position> fenced, Instant sentAt, Optional<Instant> majorityAt)
      implements PromotionPhase {
    Fencing with(EndpointId endpoint, Position received) {
      Map<EndpointId, Position> more = new HashMap<>(fenced);
      more.put(endpoint, received);
      return new Fencing(term, Map.copyOf(more), sentAt, majorityAt);
    }

    Fencing withMajorityAt(Instant moment) {
      return new Fencing(term, fenced, sentAt, Optional.of(moment));
    }

    Fencing sentAgainAt(Instant moment) {
      return new Fencing(term, fenced, moment, majorityAt);
    }
  }

  /** The candidate was told to become the primary. */
  record Promoting(Term term, EndpointId candidate, Instant since) implements PromotionPhase {}

  /** The new primary waits for replicas of its term. */
  record Confirming(Position start, Set<EndpointId> following, Instant sentAt)
      implements PromotionPhase {
    Confirming with(EndpointId endpoint) {
      return new Confirming(start, Additions.with(following, endpoint), sentAt);
    }

    Confirming sentAgainAt(Instant moment) {
      return new Confirming(start, following, moment);
    }
  }
}
