package org.mimosacleat.serving.promotion;

import java.util.Comparator;
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
  /**
   * By how much of the log they have; of two that have the same, the one that has run for longer is
   * better, since also proxies that are cut from the list of endpoints know it.
   */
  static final Comparator<Candidate> BEST_LAST =
      Comparator.comparing((Candidate candidate) -> candidate.status().received())
          .thenComparing(candidate -> -candidate.entry().startedAtMillis());

  /** Tells whether it leads a later term than this one. */
  boolean leadsAfter(Term term) {
    return status.role() == EndpointRole.PRIMARY && status.term().isAfter(term);
  }
}
