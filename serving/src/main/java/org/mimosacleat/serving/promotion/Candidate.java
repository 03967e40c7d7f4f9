package org.mimosacleat.serving.promotion;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
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

  /** Returns the candidate that reports itself as primary of the latest term above {@code term}. */
  static Optional<Candidate> primaryOfLaterTerm(List<Candidate> candidates, Term term) {
    return candidates.stream()
        .filter(candidate -> candidate.isPrimaryOfLaterTerm(term))
        .max(Comparator.comparing(candidate -> candidate.status().term()));
  }

  /** Returns whether the endpoint reports itself as primary of a later term than {@code term}. */
  boolean isPrimaryOfLaterTerm(Term term) {
    return status.role() == EndpointRole.PRIMARY && status.term().isAfter(term);
  }
}
