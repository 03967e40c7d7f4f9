package org.mimosacleat.serving.fleet;

/** The role that an endpoint assumes in its group. */
public enum EndpointRole {
  /** Accepts writes. */
  PRIMARY,
  /** Replicates the primary and accepts reads. */
  REPLICA
}
