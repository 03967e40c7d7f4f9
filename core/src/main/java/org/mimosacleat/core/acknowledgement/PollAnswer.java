package org.mimosacleat.core.acknowledgement;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/**
 * What an endpoint answered to a poll.
 *
 * @param endpoint the endpoint
 * @param received the position up to which its disk holds the log; for a primary what it has
 *     written. The term is that of the last log record, never that of a fence
 * @param replayed the position up to which reads on it see the log
 * @param fencedAt the highest term that it was fenced at; it neither writes, sends nor takes log of
 *     an earlier term
 * @param askedAt when the question was sent, by the clock of the proxy that asked
 */
public record PollAnswer(
    EndpointId endpoint, Position received, Position replayed, Term fencedAt, Instant askedAt) {
  /** Checks the parts. */
  public PollAnswer {
    Checks.notNull("endpoint id", endpoint);
    Checks.notNull("received position", received);
    Checks.notNull("replayed position", replayed);
    Checks.notNull("term of the fence", fencedAt);
    Checks.notNull("time of the question", askedAt);
  }
}
