package org.mimosacleat.core.drain;

import org.mimosacleat.core.id.GroupId;

/** What a {@link ProxyDrain} asks for. */
public sealed interface ProxyDrainAction {
  /** Tell the members and the balancer that this VM is leaving. */
  record AnnounceLeaving() implements ProxyDrainAction {}

  /**
   * Hold back new work on a group without refusing it.
   *
   * @param group the group
   */
  record Hold(GroupId group) implements ProxyDrainAction {}

  /**
   * Let the work that was held back run.
   *
   * @param group the group
   */
  record Release(GroupId group) implements ProxyDrainAction {}

  /**
   * Hand the lease over, then answer the work that was held back with "not the home".
   *
   * @param group the group
   * @param inFlight how much work is cut off by it, normally zero
   */
  record HandOver(GroupId group, int inFlight) implements ProxyDrainAction {}

  /** Take no new connections, and close each client connection once it is idle. */
  record StopAccepting() implements ProxyDrainAction {}

  /**
   * End the process.
   *
   * @param reason why now
   * @param inFlight how many requests are cut off by it, normally zero
   */
  record Exit(String reason, int inFlight) implements ProxyDrainAction {}
}
