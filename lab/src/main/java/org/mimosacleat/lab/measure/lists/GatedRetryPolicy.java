package org.mimosacleat.lab.measure.lists;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.store.Admission;
import org.mimosacleat.core.store.StoreGate;
import org.mimosacleat.core.store.StoreLimits;

/** Retries that are scheduled by the production {@link StoreGate}. */
final class GatedRetryPolicy implements RetryPolicy {
  private final InstantSource clock;
  private final StoreGate gate;

  GatedRetryPolicy(StoreLimits limits, InstantSource clock, RandomGenerator random) {
    this.clock = clock;
    this.gate = new StoreGate(limits, clock, random);
  }

  @Override
  public Optional<Instant> deferredUntil() {
    return switch (gate.admit()) {
      case Admission.Admitted _ -> Optional.empty();
      case Admission.Deferred(Instant retryAt) -> Optional.of(retryAt);
    };
  }

  @Override
  public Instant recordResult(boolean answered) {
    if (answered) {
      gate.succeeded();
    } else {
      gate.failed();
    }
    return clock.instant();
  }
}
