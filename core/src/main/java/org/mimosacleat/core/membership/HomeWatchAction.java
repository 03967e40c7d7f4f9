package org.mimosacleat.core.membership;

import java.util.Set;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/** What a {@link HomeWatch} asks for. */
public sealed interface HomeWatchAction {
  /**
   * Ask the other watchers of the home how long they have not heard it.
   *
   * @param home the watched home
   */
  record AskWatchers(VmId home) implements HomeWatchAction {}

  /**
   * Take the home over, or let the first candidate do so.
   *
   * @param home the lost home
   * @param zones the zones of those who do not hear it
   */
  record HomeLost(VmId home, Set<AvailabilityZone> zones) implements HomeWatchAction {}
}
