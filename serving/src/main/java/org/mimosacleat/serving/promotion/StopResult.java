package org.mimosacleat.serving.promotion;

/** The outcome of a request to stop using the primary that a claim replaces. */
public enum StopResult {
  /** The primary was fenced, so nobody can use it. */
  FENCED,
  /** This proxy does not use the primary any longer; others may. */
  ABANDONED,
  /** This proxy knows a later record than the claim, and uses the primary of that record. */
  CLAIM_OUTDATED
}
