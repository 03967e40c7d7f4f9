package org.mimosacleat.lab.workload;

/**
 * How often a promise was broken; all zero in a correct run.
 *
 * @param lost acknowledged writes that are missing
 * @param repeated charges that ran more than once
 * @param ranThoughRefused writes that ran although they were answered as not run
 * @param torn transactions of which a part is missing
 * @param stale reads that did not see an acknowledged write of their own session
 */
public record Violations(long lost, long repeated, long ranThoughRefused, long torn, long stale) {
  /** Tells whether no promise was broken. */
  public boolean isEmpty() {
    return lost + repeated + ranThoughRefused + torn + stale == 0;
  }
}
