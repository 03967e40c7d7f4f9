package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.time.Duration;
import org.mimosacleat.core.admission.Permit;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.CustomerId;

/** Holds each customer to what its plan allows at this home. */
public interface Admission {
  /** Takes in one statement, or refuses it as not run; it may wait for the customer's share. */
  Either<Failure, Permit> admit(CustomerId customer);

  /** Takes in the use of one endpoint connection, or refuses it as not run. */
  Either<Failure, Permit> admitConnection(CustomerId customer);

  /** Returns the longest time that a request of the customer may take. */
  Duration longestRequest(CustomerId customer);

  /** Returns the customer's guaranteed share in relation to other customers' weights. */
  double weightOf(CustomerId customer);
}
