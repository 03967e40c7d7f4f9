package org.mimosacleat.core.credit;

import java.util.Optional;
import java.util.OptionalLong;

/** An input event of a {@link LedgerStateMachine}. */
public sealed interface LedgerInput {
  /**
   * Time has passed.
   *
   * @param spent microcredits that the fleet has spent since the start of the latest row's period;
   *     empty unless known for the whole time
   * @param demandRate microcredits per second that would have been spent without a cap, as a mean
   *     since the start of the latest row's period
   */
  record Tick(OptionalLong spent, double demandRate) implements LedgerInput {}

  /**
   * A read has returned.
   *
   * @param row the latest row, if there is one
   */
  record RowRead(Optional<LedgerRow> row) implements LedgerInput {}

  /**
   * Another proxy has sent the latest row that it knows.
   *
   * @param row the row received
   */
  record RowReceived(LedgerRow row) implements LedgerInput {}

  /** The latest write succeeded. */
  record Written() implements LedgerInput {}

  /** The latest write failed because its condition was not met. */
  record Conflict() implements LedgerInput {}

  /** The latest read or write was not answered; a write may have taken effect. */
  record Unanswered() implements LedgerInput {}
}
