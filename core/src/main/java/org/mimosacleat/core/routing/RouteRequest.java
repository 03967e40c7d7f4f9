package org.mimosacleat.core.routing;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.statement.StatementKind;

/**
 * A statement that opens a transaction, or is one by itself, and has to be given an endpoint.
 *
 * @param kind what the statement does
 * @param freshness how fresh the data of a read has to be
 * @param arrivedAt when the home received the request, by its own clock
 * @param deadline when the caller stops waiting, by the same clock
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

  /** Tells whether a replica may serve the statement if it is fresh enough. */
  boolean isReplicaAllowed() {
    return !(freshness instanceof Freshness.Latest)
        && (kind == StatementKind.READ || kind == StatementKind.BEGIN_READ_ONLY);
  }
}
