package org.mimosacleat.serving.promotion;

import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.EndpointRole;

/**
 * An endpoint that may be promoted.
 *
 * @param entry the endpoint
 * @param status what it has answered
 */
record Candidate(EndpointEntry entry, EndpointStatus status) {
  /** Tells whether it leads a later term than this one. */
  boolean leadsAfter(Term term) {
    return status.role() == EndpointRole.PRIMARY && status.term().isAfter(term);
  }
}
