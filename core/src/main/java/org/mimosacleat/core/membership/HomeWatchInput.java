package org.mimosacleat.core.membership;

import java.time.Duration;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/** What a {@link HomeWatch} is told. */
public sealed interface HomeWatchInput {
  /** Time has passed; to be given about every 50 ms. */
  record Tick() implements HomeWatchInput {}

  /** A heartbeat, or any other message, of the watched home arrived. */
  record Heard() implements HomeWatchInput {}

  /**
   * Another watcher answered a question.
   *
   * @param witness the watcher
   * @param zone where it runs
   * @param silence how long it has not heard the home
   */
  record Answered(VmId witness, AvailabilityZone zone, Duration silence)
      implements HomeWatchInput {}
}
