package org.mimosacleat.core.lease;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.VmId;

/** What a {@link LeaseMachine} is told. */
public sealed interface LeaseInput {
  /** Time has passed; to be given at least once a renewal interval. */
  record Tick() implements LeaseInput {}

  /**
   * This VM should become the home; or, if it is the home, write its row anew with other successors
   * or endpoints.
   *
   * @param reason why, for the log
   * @param successors VMs that may follow it while the table service is down
   * @param endpoints the endpoints of the group; for a group that has a row they may differ from
   *     the row's by one, and only if this VM is the home, else the row's are kept: majorities of
   *     sets that differ by one always share an endpoint
   */
  record Acquire(String reason, List<VmId> successors, Set<EndpointId> endpoints)
      implements LeaseInput {}

  /**
   * This VM should hand its home over. All work on the group must be finished or held back first.
   *
   * @param to the next home
   * @param successors VMs that may follow it while the table service is down
   */
  record HandOver(VmId to, List<VmId> successors) implements LeaseInput {}

  /**
   * The earlier home told this VM that it has handed over.
   *
   * @param row the row that the earlier home wrote, with this VM as the holder; or, with the table
   *     service down, its own row, with this VM among the successors
   * @param ceased the token of the last holder that is known to have ceased
   */
  record HandedOver(LeaseRow row, FencingToken ceased) implements LeaseInput {}

  /**
   * The table service answered a read.
   *
   * @param row the row, or empty if there is none
   */
  record RowRead(Optional<LeaseRow> row) implements LeaseInput {}

  /**
   * The table service answered a write: it took effect.
   *
   * @param writeId the write
   */
  record WriteApplied(WriteId writeId) implements LeaseInput {}

  /**
   * The table service answered a write: its condition did not hold.
   *
   * @param writeId the write
   */
  record WriteRefused(WriteId writeId) implements LeaseInput {}

  /** A read or a write got no answer in time; a write may have taken effect. */
  record StoreUnanswered() implements LeaseInput {}

  /**
   * An endpoint answered a request to fence.
   *
   * @param endpoint the endpoint
   * @param asked the token of the request
   * @param highest the highest token that the endpoint has accepted, {@code asked} included
   * @param previous the highest token that it accepted before {@code highest}, or none
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
