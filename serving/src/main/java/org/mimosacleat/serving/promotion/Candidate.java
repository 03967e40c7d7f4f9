package org.mimosacleat.serving.promotion;

import java.util.Comparator;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.serving.fleet.EndpointEntry;
import org.mimosacleat.serving.fleet.EndpointRole;

/**
 * An endpoint considered for promotion, with its reported status.
 *
 * @param entry the endpoint
 * @param status the status that it reported
 */
record Candidate(EndpointEntry entry, EndpointStatus status) {
  /**
   * Orders candidates from worst to best: by the received part of the log, then by uptime. The
   * endpoint that has run for longer is preferred because proxies that no longer receive updates of
   * the endpoint list already know it.
   */
  static final Comparator<Candidate> BY_LOG_POSITION_AND_UPTIME =
      Comparator.comparing((Candidate candidate) -> candidate.status().received())
          .thenComparing(candidate -> -candidate.entry().startedAtMillis());

  /** Returns whether the endpoint reports itself as primary of a later term than {@code term}. */
  boolean isPrimaryOfLaterTerm(Term term) {
    return status.role() == EndpointRole.PRIMARY && status.term().isAfter(term);
  }
}
