package org.mimosacleat.core.routing;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.statement.StatementKind;

/**
 * A statement to route: it opens a transaction or is a transaction by itself.
 *
 * @param kind what the statement does
 * @param freshness the required freshness of a read
 * @param arrivedAt when the home received the request, by its own clock
 * @param deadline when the client stops waiting, by the same clock
 */
public record RouteRequest(
    StatementKind kind, Freshness freshness, Instant arrivedAt, Instant deadline) {
  /** Validates the components. */
  public RouteRequest {
    Checks.notNull("statement kind", kind);
    Checks.notNull("freshness", freshness);
    Checks.notNull("time of arrival", arrivedAt);
    Checks.notNull("deadline", deadline);
  }

  /** Returns whether a replica that is fresh enough may serve the statement. */
  boolean isReplicaAllowed() {
    return !(freshness instanceof Freshness.Latest)
        && (kind == StatementKind.READ || kind == StatementKind.BEGIN_READ_ONLY);
  }
}
