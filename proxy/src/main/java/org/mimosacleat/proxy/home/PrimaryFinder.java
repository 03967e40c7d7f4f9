package org.mimosacleat.proxy.home;

import java.time.InstantSource;
import java.util.function.BiConsumer;
import org.mimosacleat.core.acknowledgement.Reign;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Term;

/** Takes as primary the endpoint that runs as one in the latest term. */
final class PrimaryFinder implements WatchListener {
  private final GroupState state;
  private final InstantSource clock;
  private final BiConsumer<EndpointId, String> failures;

  PrimaryFinder(GroupState state, InstantSource clock, BiConsumer<EndpointId, String> failures) {
    this.state = state;
    this.clock = clock;
    this.failures = failures;
  }

  @Override
  public void answered(EndpointStatus status) {
    Term term = status.answer().received().term();
    boolean laterTerm = term.isAfter(state.snapshot().term());
    if (status.isPrimary() && (laterTerm || state.snapshot().primary().isEmpty())) {
      state.termStarted(
          new Reign(term, status.answer().endpoint(), state.members()), clock.instant());
    }
    state.answered(status.answer());
  }

  @Override
  public void failed(EndpointId endpoint, String reason) {
    state.failed(endpoint);
    failures.accept(endpoint, reason);
  }
}
