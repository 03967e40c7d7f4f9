package org.mimosacleat.serving.fleet;

/** What an endpoint takes itself for. */
public enum EndpointRole {
  /** It takes writes. */
  PRIMARY,
  /** It follows the primary and takes reads. */
  REPLICA
}
