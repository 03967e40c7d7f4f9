package org.mimosacleat.core.drain;

import java.util.Map;
import org.mimosacleat.core.id.GroupId;

/** An input event of a {@link ProxyDrain}. */
public sealed interface ProxyDrainInput {
  /** The process received a stop signal; a second one ends it immediately. */
  record Signal() implements ProxyDrainInput {}

  /**
   * Time has passed or work has ended; pass this about every 20 ms while stopping.
   *
   * @param homes the number of transactions and statements in flight for each group whose lease
   *     this VM holds or is handing over
   * @param requests the number of requests in flight from clients connected to this VM
   */
  record Progress(Map<GroupId, Integer> homes, int requests) implements ProxyDrainInput {}
}
