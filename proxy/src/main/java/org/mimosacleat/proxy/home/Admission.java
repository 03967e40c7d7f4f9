package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.time.Duration;
import org.mimosacleat.core.admission.Permit;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.TeamId;

/** Enforces the limits of each customer's plan at this home. */
public interface Admission {
  /**
   * Admits one statement, or refuses it with a failure that says that it was not run. The call may
   * block until the customer's share allows the statement.
   */
  Either<Failure, Permit> admit(TeamId customer);

  /**
   * Admits the use of one endpoint connection, or refuses it with a failure that says that the
   * request was not run.
   */
  Either<Failure, Permit> admitConnection(TeamId customer);

  /** Returns the maximum duration of a request of the customer. */
  Duration maxRequestDuration(TeamId customer);

  /** Returns the weight of the customer's guaranteed share relative to those of other customers. */
  double weightOf(TeamId customer);
}
