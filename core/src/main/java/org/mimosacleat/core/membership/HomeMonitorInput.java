package org.mimosacleat.core.membership;

import java.time.Duration;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/** An input of a {@link HomeMonitor}. */
public sealed interface HomeMonitorInput {
  /** Time has passed; expected about every 50 ms. */
  record Tick() implements HomeMonitorInput {}

  /** A heartbeat or any other message from the monitored home arrived. */
  record MessageReceived() implements HomeMonitorInput {}

  /**
   * Another monitor answered a query.
   *
   * @param monitor the VM that answered
   * @param zone the zone of that VM
   * @param silence the time since the home's last message to that VM
   */
  record MonitorAnswered(VmId monitor, AvailabilityZone zone, Duration silence)
      implements HomeMonitorInput {}
}
