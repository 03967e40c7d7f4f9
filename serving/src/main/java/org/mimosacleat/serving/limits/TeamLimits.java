package org.mimosacleat.serving.limits;

import io.vavr.control.Either;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.TeamId;

/** Admits the operations of teams. Implementations are thread-safe. */
@FunctionalInterface
public interface TeamLimits {
  /** Admits everything. */
  TeamLimits UNLIMITED = _ -> Either.right(null);

  /**
   * Admits one operation: a statement outside a transaction, or a transaction. Call this once for
   * an operation, at the proxy that runs it, before a connection is borrowed.
   *
   * @return {@code OVER_ALLOWANCE} if the team has used what this proxy may admit now
   */
  Either<Failure, Void> admit(TeamId team);
}
