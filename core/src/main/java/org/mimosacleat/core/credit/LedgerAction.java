package org.mimosacleat.core.credit;

/** A request of a {@link LedgerStateMachine} to the table service, performed by its caller. */
public sealed interface LedgerAction {
  /** Read the latest row with a consistent read. */
  record Read() implements LedgerAction {}

  /**
   * Write a row on condition that the latest row has the preceding sequence number, or that there
   * is no row yet and this is the first.
   *
   * @param row the row to write
   */
  record Write(LedgerRow row) implements LedgerAction {}
}
