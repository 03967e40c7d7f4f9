package org.mimosacleat.core.acknowledgement;

/** Tells whether this proxy holds the lease of a group. */
@FunctionalInterface
public interface LeaseStatus {
  /**
   * Returns whether the lease is unexpired by this proxy's own clock, counted from before the write
   * that renewed it was sent. It is asked again for every use, so that a pause is noticed.
   */
  boolean isHeld();
}
