package org.mimosacleat.core.drain;

import org.mimosacleat.core.id.GroupId;

/** An action requested by a {@link ProxyDrain}. */
public sealed interface ProxyDrainAction {
  /** Announce to the members and the load balancer that this VM is leaving. */
  record AnnounceLeaving() implements ProxyDrainAction {}

  /**
   * Hold back new work on a group without refusing it.
   *
   * @param group the group
   */
  record Hold(GroupId group) implements ProxyDrainAction {}

  /**
   * Run the work of a group that was held back.
   *
   * @param group the group
   */
  record Release(GroupId group) implements ProxyDrainAction {}

  /**
   * Hand the lease over, then reject the work that was held back with "not the home".
   *
   * @param group the group
   * @param inFlight how many transactions and statements are cut off, normally zero
   */
  record HandOver(GroupId group, int inFlight) implements ProxyDrainAction {}

  /** Accept no new connections, and close each client connection once it is idle. */
  record StopAccepting() implements ProxyDrainAction {}

  /**
   * End the process.
   *
   * @param reason the reason, for the log
   * @param inFlight how much work is cut off, normally zero
   */
  record Exit(String reason, int inFlight) implements ProxyDrainAction {}
}
