package org.mimosacleat.core.membership;

/** What is believed of a VM. Of two beliefs for one incarnation the later constant wins. */
public enum MemberStatus {
  /** It answers, or the platform lists it and nothing speaks against it. */
  ALIVE,
  /** It answers, but is about to stop; it gets no home. */
  LEAVING,
  /** It did not answer a probe; it keeps its homes until it is dead. */
  SUSPECT,
  /** It did not refute the suspicion in time. */
  DEAD
}
