package org.mimosacleat.lab.workload;

/**
 * How often a promise was broken; all zero in a correct run.
 *
 * @param lostWrites acknowledged writes that are missing
 * @param repeatedWrites charges that ran more than once
 * @param ranThoughRefused writes that ran although they were answered as not run
 * @param tornTransactions transactions of which a part is missing
 * @param staleReads reads that did not see an acknowledged write of their own session
 */
public record Violations(
    long lostWrites,
    long repeatedWrites,
    long ranThoughRefused,
    long tornTransactions,
    long staleReads) {
  /** Tells whether no promise was broken. */
  public boolean isEmpty() {
    return lostWrites + repeatedWrites + ranThoughRefused + tornTransactions + staleReads == 0;
  }
}
