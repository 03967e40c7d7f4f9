package org.mimosacleat.core.acknowledgement;

/** Reports whether this proxy holds the lease of a group. */
@FunctionalInterface
public interface LeaseStatus {
  /**
   * Returns whether the lease has not expired by this proxy's own clock. Its duration counts from a
   * moment before the renewing write was sent. Callers check it again for every use, so that they
   * notice when the process was paused beyond its expiry.
   */
  boolean isHeld();
}
