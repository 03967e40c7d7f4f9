package org.mimosacleat.core.membership;

/** The believed status of a VM. Within one incarnation the later constant takes precedence. */
public enum MemberStatus {
  /** It responds, or the platform lists it and there is no evidence of a failure. */
  ALIVE,
  /** It responds but is about to stop, so it is not chosen as a home. */
  LEAVING,
  /** It did not answer a probe; it stays the home of its groups until it is dead. */
  SUSPECT,
  /** It did not refute the suspicion in time. */
  DEAD
}
