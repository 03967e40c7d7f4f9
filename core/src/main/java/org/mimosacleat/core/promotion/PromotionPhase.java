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

/** The phase of the promotion state machine; each phase is immutable. */
sealed interface PromotionPhase {
  /** This VM is not the home. */
  record Idle() implements PromotionPhase {}

  /** A new home polls a majority to find out whether a promotion was interrupted. */
  record TakingOver(Set<EndpointId> answered) implements PromotionPhase {
    TakingOver with(EndpointId endpoint) {
      return new TakingOver(ImmutableSets.with(answered, endpoint));
    }
  }

  /** The primary is not suspected. */
  record Monitoring() implements PromotionPhase {}

  /**
   * The primary did not answer a poll, and peers were asked to try to reach it.
   *
   * @param round the number of this request to the peers
   * @param askedAt when the peers were asked
   * @param unreachableFrom the zones from which the primary did not answer, the home's own included
   * @param reachableFrom the zones from which the primary answered
   */
  record Suspecting(
      long round,
      Instant askedAt,
      Set<AvailabilityZone> unreachableFrom,
      Set<AvailabilityZone> reachableFrom)
      implements PromotionPhase {
    Suspecting with(AvailabilityZone zone, boolean reachable) {
      return reachable
          ? new Suspecting(round, askedAt, unreachableFrom, ImmutableSets.with(reachableFrom, zone))
          : new Suspecting(
              round, askedAt, ImmutableSets.with(unreachableFrom, zone), reachableFrom);
    }
  }

  /** The next term has to be reserved by a conditional write of the row. */
  record Claiming(Term term) implements PromotionPhase {}

  /**
   * A majority of the members has to be fenced.
   *
   * @param term the term to start
   * @param fenced the fenced endpoints with their received positions
   * @param sentAt when the fence requests were last sent
   * @param majorityAt when a majority was fenced, if it is
   */
  record Fencing(
      Term term, Map<EndpointId, Position> fenced, Instant sentAt, Optional<Instant> majorityAt)
      implements PromotionPhase {
    Fencing with(EndpointId endpoint, Position received) {
      Map<EndpointId, Position> extended = new HashMap<>(fenced);
      extended.put(endpoint, received);
      return new Fencing(term, Map.copyOf(extended), sentAt, majorityAt);
    }

    Fencing withMajorityAt(Instant time) {
      return new Fencing(term, fenced, sentAt, Optional.of(time));
    }

    Fencing resentAt(Instant time) {
      return new Fencing(term, fenced, time, majorityAt);
    }
  }

  /** The candidate was requested to become the primary. */
  record Promoting(Term term, EndpointId candidate, Instant since) implements PromotionPhase {}

  /**
   * The candidate was promoted, and enough replicas have to follow it before it serves.
   *
   * @param start the first position of the new term
   * @param following the replicas that have reached {@code start}
   * @param sentAt when the follow requests were last sent
   */
  record Confirming(Position start, Set<EndpointId> following, Instant sentAt)
      implements PromotionPhase {
    Confirming with(EndpointId endpoint) {
      return new Confirming(start, ImmutableSets.with(following, endpoint), sentAt);
    }

    Confirming resentAt(Instant time) {
      return new Confirming(start, following, time);
    }
  }
}
