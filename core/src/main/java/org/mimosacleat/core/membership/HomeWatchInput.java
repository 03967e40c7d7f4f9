package org.mimosacleat.core.membership;

import java.time.Duration;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/** An input of a {@link HomeWatch}. */
public sealed interface HomeWatchInput {
  /** Time has passed; expected about every 50 ms. */
  record Tick() implements HomeWatchInput {}

  /** A heartbeat or any other message from the monitored home arrived. */
  record Heard() implements HomeWatchInput {}

  /**
   * Another monitor answered a query.
   *
   * @param monitor the VM that answered
   * @param zone the zone of that VM
   * @param silence the time since the home's last message to that VM
   */
  record Answered(VmId monitor, AvailabilityZone zone, Duration silence)
      implements HomeWatchInput {}
}
