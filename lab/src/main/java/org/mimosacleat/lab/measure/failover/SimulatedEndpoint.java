package org.mimosacleat.lab.measure.failover;

import java.time.Instant;
import java.util.Optional;
import org.mimosacleat.core.acknowledgement.PollResponse;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.LogPosition;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/** A simulated endpoint, reduced to its position, its fence and its role. */
final class SimulatedEndpoint {
  private final EndpointId id;
  private final int zone;
  private Position position = new Position(Term.FIRST, LogPosition.START);
  private Term fence = Term.FIRST;
  private Optional<Term> primaryOf = Optional.empty();
  private boolean reachable = true;

  SimulatedEndpoint(EndpointId id, int zone) {
    this.id = id;
    this.zone = zone;
  }

  EndpointId id() {
    return id;
  }

  int zone() {
    return zone;
  }

  Position position() {
    return position;
  }

  Term fence() {
    return fence;
  }

  boolean isReachable() {
    return reachable;
  }

  void setReachable(boolean now) {
    reachable = now;
  }

  boolean isPrimaryOf(Term term) {
    return primaryOf.filter(term::equals).isPresent() && !fence.isAfter(term);
  }

  void becomePrimary(Term term) {
    fence = term;
    primaryOf = Optional.of(term);
    position = new Position(term, new LogPosition(position.log().bytes() + 1));
  }

  void raiseFence(Term term) {
    if (term.isAfter(fence)) {
      fence = term;
      primaryOf = Optional.empty();
    }
  }

  Position append() {
    position = new Position(position.term(), new LogPosition(position.log().bytes() + 1));
    return position;
  }

  void receive(Position received) {
    if (!fence.isAfter(received.term()) && received.compareTo(position) > 0) {
      position = received;
    }
  }

  PollResponse pollResponse(Instant askedAt) {
    return new PollResponse(id, position, position, fence, askedAt);
  }
}
