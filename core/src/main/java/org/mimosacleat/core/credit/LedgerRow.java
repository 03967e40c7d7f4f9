package org.mimosacleat.core.credit;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;

/**
 * One row of the ledger. It is written only if the row before is still the latest one, so the rows
 * form one line whatever races.
 *
 * @param sequence counts the rows from 1
 * @param writeId unique to the attempt to write it, so that its writer knows it again
 * @param from the start of the period that it reserves credits for
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
