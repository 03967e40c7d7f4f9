package org.mimosacleat.core.credit;

import java.util.Optional;
import java.util.OptionalLong;

/** What happens to a {@link LedgerMachine}. */
public sealed interface LedgerInput {
  /**
   * Time has passed.
   *
   * @param spent microcredits that the fleet spent since the start of the latest row's period, if
   *     that is known for all of the time
   * @param demandRate microcredits a second that would have been spent if nothing were capped, as a
   *     mean since the start of the latest row's period
   */
  record Tick(OptionalLong spent, double demandRate) implements LedgerInput {}

  /**
   * A read was answered.
   *
   * @param row the latest row, if there is one
   */
  record RowRead(Optional<LedgerRow> row) implements LedgerInput {}

  /**
   * Another proxy has sent the latest row that it knows.
   *
   * @param row that row
   */
  record Heard(LedgerRow row) implements LedgerInput {}

  /** The latest write took effect. */
  record Written() implements LedgerInput {}

  /** The latest write did not take effect, since its condition did not hold. */
  record Conflict() implements LedgerInput {}

  /** The latest read or write was not answered; a write may have taken effect. */
  record Lost() implements LedgerInput {}
}
