package org.mimosacleat.core.drain;

import java.util.Map;
import org.mimosacleat.core.id.GroupId;

/** What a {@link ProxyDrain} is told. */
public sealed interface ProxyDrainInput {
  /** The process got a signal to stop; the second one ends it at once. */
  record Signal() implements ProxyDrainInput {}

  /**
   * Time has passed or work has ended; to be given about every 20 ms while stopping.
   *
   * @param homes each group whose lease this VM holds or is handing over, with its transactions and
   *     statements in flight
   * @param requests the requests of this VM's own clients that are in flight
   */
  record Progress(Map<GroupId, Integer> homes, int requests) implements ProxyDrainInput {}
}
