package org.mimosacleat.serving.promotion;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.serving.endpoint.BorrowedConnection;
import org.mimosacleat.serving.endpoint.CommandResult;
import org.mimosacleat.serving.endpoint.EndpointCommand;
import org.mimosacleat.serving.endpoint.EndpointPools;
import org.mimosacleat.serving.fleet.EndpointEntry;

/** Finds out whether an endpoint has run without a new start, by a connection opened before. */
final class EndpointUptime {
  /** Longer than an endpoint takes that is not overloaded. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(200);

  private final EndpointPools pools;
  private final InstantSource clock;

  EndpointUptime(EndpointPools pools, InstantSource clock) {
    this.pools = pools;
    this.clock = clock;
  }

  /**
   * Returns whether the endpoint is known to have run for this time; false if that is not known.
   */
  boolean hasRunFor(Duration time, EndpointEntry entry) {
    Instant before = clock.instant().minus(time);
    return pools
        .find(entry.id())
        .filter(pool -> pool.entry().isSameInstanceAs(entry))
        .flatMap(pool -> pool.borrowOpenedBefore(before))
        .filter(this::answers)
        .isPresent();
  }

  private boolean answers(BorrowedConnection connection) {
    Instant deadline = clock.instant().plus(ANSWER_TIMEOUT);
    CommandResult result =
        connection.run(Map.of(), Optional.empty(), List.of(new EndpointCommand.Status()), deadline);
    boolean answered = result instanceof CommandResult.Answered;
    if (answered) {
      connection.release();
    } else {
      connection.discard();
    }
    return answered;
  }
}
