package org.mimosacleat.serving.promotion;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.EndpointRole;

/** Finds out, by more than one request, whether a suspected primary can be reached. */
final class PrimaryProbe {
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(150);
  private static final Duration MAX_PROBE_INTERVAL_OVERRUN = Duration.ofMillis(60);
  private static final int PROBES = 2;

  private final FailoverDependencies dependencies;

  PrimaryProbe(FailoverDependencies dependencies) {
    this.dependencies = dependencies;
  }

  /** Probes the primary of a record until it answers or has failed often enough. */
  Result probe(RecordedPrimary recorded, EndpointEntry primary) {
    for (int probe = 0; probe < PROBES; probe++) {
      Either<Failure, EndpointStatus> status = dependencies.administration().status(primary);
      if (status.isRight()) {
        boolean leads = status.get().role() == EndpointRole.PRIMARY;
        return leads ? Result.PRIMARY : Result.REPLICA;
      }
      boolean unreachable = status.getLeft().kind() == ErrorKind.UNAVAILABLE;
      if (!unreachable || isDelayedBetweenProbes() || dependencies.hasChanged(recorded)) {
        return Result.INCONCLUSIVE;
      }
    }
    return Result.UNREACHABLE;
  }

  /**
   * Sleeps for the probe interval and returns whether that took much longer than requested. A proxy
   * that gets no CPU time would otherwise mistake its own delay for an unresponsive primary.
   */
  private boolean isDelayedBetweenProbes() {
    Instant before = dependencies.clock().instant();
    dependencies.sleeper().sleep(PROBE_INTERVAL);
    Duration waited = Duration.between(before, dependencies.clock().instant());
    return waited.minus(PROBE_INTERVAL).compareTo(MAX_PROBE_INTERVAL_OVERRUN) > 0;
  }

  /** What a probe has shown. */
  enum Result {
    /** The endpoint answers as primary. */
    PRIMARY,
    /** The endpoint answers, but as a replica. */
    REPLICA,
    /** The endpoint did not answer. */
    UNREACHABLE,
    /** The endpoint refused the request, this proxy was delayed, or a newer record is known. */
    INCONCLUSIVE
  }
}
