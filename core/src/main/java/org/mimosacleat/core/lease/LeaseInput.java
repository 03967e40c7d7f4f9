package org.mimosacleat.core.lease;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.VmId;

/** An event that a {@link LeaseStateMachine} processes. */
public sealed interface LeaseInput {
  /** Time has passed; to be passed in at least once per renewal interval. */
  record Tick() implements LeaseInput {}

  /**
   * This VM should become the home or, if it is the home, rewrite its row with other successors or
   * endpoints.
   *
   * @param reason the reason, for the log
   * @param successors VMs that may take over from it while the table service is down
   * @param endpoints the endpoints of the group. If the group has a row, the endpoints of the row
   *     are kept unless this VM is the home and the two sets differ by at most one endpoint:
   *     majorities of sets that differ by one always share an endpoint
   */
  record Acquire(String reason, List<VmId> successors, Set<EndpointId> endpoints)
      implements LeaseInput {}

  /**
   * This VM should hand the home over. All work on the group must be finished or held back first.
   *
   * @param to the next home
   * @param successors VMs that may take over from the next home while the table service is down
   */
  record HandOver(VmId to, List<VmId> successors) implements LeaseInput {}

  /**
   * The previous home notified this VM that it has handed over.
   *
   * @param row the row that the previous home wrote, with this VM as the holder; or, if the table
   *     service is down, its own row, with this VM among the successors
   * @param expiredThrough the leases of all holders up to this token are known to have ended
   */
  record HandedOver(LeaseRow row, FencingToken expiredThrough) implements LeaseInput {}

  /**
   * The table service returned the result of a read.
   *
   * @param row the row, or empty if there is none
   */
  record RowRead(Optional<LeaseRow> row) implements LeaseInput {}

  /**
   * The table service confirmed that a write took effect.
   *
   * @param writeId the id of the write
   */
  record WriteApplied(WriteId writeId) implements LeaseInput {}

  /**
   * The table service refused a write because its condition did not hold.
   *
   * @param writeId the id of the write
   */
  record WriteRefused(WriteId writeId) implements LeaseInput {}

  /** A read or write got no answer in time; a write may still have taken effect. */
  record StoreTimedOut() implements LeaseInput {}

  /**
   * An endpoint answered a fence request.
   *
   * @param endpoint the endpoint
   * @param asked the token of the request
   * @param highest the highest token that the endpoint has accepted, {@code asked} included
   * @param previous the highest token that it accepted before {@code highest}, or {@link
   *     FencingToken#NONE}
   * @param sentAt when the request was sent, by this VM's clock
   */
  record FenceAnswered(
      EndpointId endpoint,
      FencingToken asked,
      FencingToken highest,
      FencingToken previous,
      Instant sentAt)
      implements LeaseInput {}
}
