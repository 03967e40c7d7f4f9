package org.mimosacleat.core.group;

/** Whether an endpoint receives new work. */
public enum EndpointState {
  /** The endpoint answers and receives new work. */
  LIVE,
  /** The endpoint stopped answering and receives no work until it answers again. */
  SUSPECT,
  /** The platform lists the endpoint as leaving; it finishes its work and receives no more. */
  LEAVING
}
