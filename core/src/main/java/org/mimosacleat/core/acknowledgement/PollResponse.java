package org.mimosacleat.core.acknowledgement;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.core.position.Term;

/**
 * The response of an endpoint to a poll.
 *
 * @param endpoint the endpoint
 * @param received the position up to which the log is stored on its disk; on a primary, the
 *     position up to which it has written. The term is that of the last log record, never that of a
 *     fence
 * @param replayed the position up to which reads on the endpoint see the log
 * @param fencedAt the highest term that it was fenced at; it neither writes, sends nor receives log
 *     of an earlier term
 * @param askedAt when the poll was sent, by the clock of the proxy that sent it
 */
public record PollResponse(
    EndpointId endpoint, Position received, Position replayed, Term fencedAt, Instant askedAt) {
  /** Checks the components. */
  public PollResponse {
    Checks.notNull("endpoint id", endpoint);
    Checks.notNull("received position", received);
    Checks.notNull("replayed position", replayed);
    Checks.notNull("fence term", fencedAt);
    Checks.notNull("poll time", askedAt);
  }
}
