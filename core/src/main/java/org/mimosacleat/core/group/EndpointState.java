package org.mimosacleat.core.group;

/** Whether an endpoint may be given work. */
public enum EndpointState {
  /** It answers and may be given work. */
  LIVE,
  /** It has stopped answering; it is given no work until it answers again. */
  SUSPECT,
  /** The platform lists it as leaving; it finishes its work and is given no more. */
  LEAVING
}
