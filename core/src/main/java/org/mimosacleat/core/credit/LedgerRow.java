package org.mimosacleat.core.credit;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;

/**
 * One row of the ledger. A row is written only if its predecessor is still the latest row, so the
 * rows form a single sequence even with concurrent writers.
 *
 * @param sequence the number of the row, counted from 1
 * @param writeId a unique id of the write attempt, by which the writer recognizes its own row
 * @param from the start of the period for which credits are reserved
 * @param until the end of that period
 * @param reserved microcredits that may be spent in the period
 * @param balance microcredits that are neither spent nor reserved
 * @param profile the demand learned so far
 */
public record LedgerRow(
    long sequence,
    String writeId,
    Instant from,
    Instant until,
    long reserved,
    long balance,
    DemandProfile profile) {
  /** Checks the values. */
  public LedgerRow {
    Checks.positive("sequence", sequence);
    Checks.name("write id", writeId);
    Checks.notNegative("reserved microcredits", reserved);
    Checks.notNull("demand profile", profile);
  }
}
