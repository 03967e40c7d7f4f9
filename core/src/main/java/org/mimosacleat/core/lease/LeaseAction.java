package org.mimosacleat.core.lease;

import java.util.Optional;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.id.VmId;

/** What a {@link LeaseMachine} asks for. */
public sealed interface LeaseAction {
  /** Read the row, and answer with a row read or unanswered. */
  record ReadRow() implements LeaseAction {}

  /**
   * Write the row if its write id is still the expected one.
   *
   * @param row the new row
   * @param expected the write id to find, or empty if there must be no row
   */
  record WriteRow(LeaseRow row, Optional<WriteId> expected) implements LeaseAction {}

  /**
   * Ask an endpoint to accept the token, to refuse lower ones from now on, and to close the
   * connections that other processes opened under lower ones. Asking again with the same token
   * renews. The endpoint has to keep its highest token, and the one before it, over a restart.
   *
   * @param endpoint the endpoint
   * @param token the token
   */
  record Fence(EndpointId endpoint, FencingToken token) implements LeaseAction {}

  /**
   * Tell the next home that the row now names it.
   *
   * @param to the next home
   * @param row the row
   * @param ceased the token of the last holder that is known to have ceased
   */
  record TellNextHome(VmId to, LeaseRow row, FencingToken ceased) implements LeaseAction {}

  /**
   * Log a change.
   *
   * @param explanation what changed and why
   */
  record Explain(String explanation) implements LeaseAction {}
}
