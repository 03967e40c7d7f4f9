package org.mimosacleat.core.admission;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.TeamId;

/**
 * Limits each customer to the share of its allowance that this home holds.
 *
 * <p>Call {@link #setShare} whenever a share changes, {@link #admit} before queueing a statement,
 * and {@link #admitConnection} before a transaction borrows a connection. A customer without a
 * share is refused. Thread-safe and lock-free.
 */
public final class AdmissionController {
  private final InstantSource clock;
  private final ConcurrentMap<TeamId, CustomerLimits> limitsByCustomer = new ConcurrentHashMap<>();

  /** Creates a controller without shares. */
  public AdmissionController(InstantSource clock) {
    this.clock = clock;
  }

  /** Sets how much of a resource a customer may use at this home. */
  public void setShare(TeamId customer, Resource resource, long units) {
    limitsOf(customer).setShare(resource, units);
  }

  /**
   * Returns whether a customer has a share of each resource, and the share of the rate has yielded
   * a first statement; a new share begins without any.
   */
  public boolean isReady(TeamId customer) {
    return limitsOf(customer).isReady();
  }

  /** Admits one statement, or refuses it as not run. */
  public Either<Failure, Permit> admit(TeamId customer) {
    CustomerLimits limits = limitsOf(customer);
    Resource exhausted = limits.tryAdmitStatement();
    if (exhausted != null) {
      return refuse(customer, exhausted);
    }
    return Either.right(new Permit(limits, Resource.CONCURRENT_STATEMENTS));
  }

  /** Admits the use of one endpoint connection, or refuses it as not run. */
  public Either<Failure, Permit> admitConnection(TeamId customer) {
    CustomerLimits limits = limitsOf(customer);
    if (!limits.tryAdmitConnection()) {
      return refuse(customer, Resource.CONNECTIONS);
    }
    return Either.right(new Permit(limits, Resource.CONNECTIONS));
  }

  /** Returns the units that a customer has used or been refused since the last call. */
  public long getAndResetDemand(TeamId customer, Resource resource) {
    return limitsOf(customer).getAndResetDemand(resource);
  }

  private CustomerLimits limitsOf(TeamId customer) {
    CustomerLimits existing = limitsByCustomer.get(customer);
    return existing != null
        ? existing
        : limitsByCustomer.computeIfAbsent(customer, absent -> new CustomerLimits(clock));
  }

  private static Either<Failure, Permit> refuse(TeamId customer, Resource resource) {
    String detail = "not run: customer " + customer + " uses all of its " + resource;
    return Either.left(new Failure(ErrorKind.OVER_ALLOWANCE, detail));
  }
}
