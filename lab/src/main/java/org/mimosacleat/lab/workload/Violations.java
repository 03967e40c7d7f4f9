package org.mimosacleat.lab.workload;

/**
 * Counts of violated consistency guarantees; all zero in a correct run.
 *
 * @param lostWrites acknowledged writes that are not stored
 * @param repeatedWrites writes that are stored more than once
 * @param ranThoughRefused writes that ran although the client was told that they did not
 * @param tornTransactions transactions of which only a part is stored
 * @param staleReads reads that did not see an acknowledged write of their own session
 */
public record Violations(
    long lostWrites,
    long repeatedWrites,
    long ranThoughRefused,
    long tornTransactions,
    long staleReads) {
  /** Returns whether no guarantee was violated. */
  public boolean isEmpty() {
    return lostWrites + repeatedWrites + ranThoughRefused + tornTransactions + staleReads == 0;
  }
}
