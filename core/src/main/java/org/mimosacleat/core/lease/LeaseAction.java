package org.mimosacleat.core.lease;

import java.util.Optional;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.VmId;

/** An action that a {@link LeaseStateMachine} requests. */
public sealed interface LeaseAction {
  /** Read the row, then pass in {@link LeaseInput.RowRead} or {@link LeaseInput.StoreTimedOut}. */
  record ReadRow() implements LeaseAction {}

  /**
   * Write the row if its write id is still the expected one.
   *
   * @param row the new row
   * @param expected the write id that the stored row must have, or empty if there must be no row
   */
  record WriteRow(LeaseRow row, Optional<WriteId> expected) implements LeaseAction {}

  /**
   * Ask an endpoint to accept the token, to refuse lower ones from now on, and to close the
   * connections that other processes opened under lower ones. A further request with the same token
   * renews the lease. The endpoint must keep its highest token and the previous one across
   * restarts.
   *
   * @param endpoint the endpoint
   * @param token the token
   */
  record Fence(EndpointId endpoint, FencingToken token) implements LeaseAction {}

  /**
   * Notify the next home that this VM has handed over to it.
   *
   * @param to the next home
   * @param row the row that names the next home; or, if the table service does not answer, the
   *     previous row
   * @param expiredThrough the leases of all holders up to this token are known to have ended
   */
  record NotifyNextHome(VmId to, LeaseRow row, FencingToken expiredThrough)
      implements LeaseAction {}

  /**
   * Log a change of the lease.
   *
   * @param explanation what changed and why
   */
  record LogDecision(String explanation) implements LeaseAction {}
}
