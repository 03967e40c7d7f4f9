package org.mimosacleat.core.credit;

/** What a {@link LedgerMachine} asks its driver to do with the table service. */
public sealed interface LedgerAction {
  /** Read the latest row, consistently. */
  record Read() implements LedgerAction {}

  /**
   * Write a row if the latest one has the sequence just before it, or if there is none and this is
   * the first.
   *
   * @param row the row
   */
  record Write(LedgerRow row) implements LedgerAction {}
}
