package org.mimosacleat.core.admission;

import io.vavr.control.Either;
import java.time.InstantSource;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.CustomerId;

/**
 * Holds each customer to this home's share of its allowance.
 *
 * <p>Set shares with {@link #setShare} whenever they change, and ask {@link #admit} before a
 * statement is queued and {@link #admitConnection} before a transaction takes a connection. A
 * customer without a share is refused. Safe for several threads; it takes no locks.
 */
public final class AdmissionGate {
  private final InstantSource clock;
  private final ConcurrentMap<CustomerId, CustomerGate> gates = new ConcurrentHashMap<>();

  /** Starts with no shares. */
  public AdmissionGate(InstantSource clock) {
    this.clock = clock;
  }

  /** Sets how much of a resource a customer may use at this home. */
  public void setShare(CustomerId customer, Resource resource, long units) {
    gate(customer).setShare(resource, units);
  }

  /** Takes in one statement, or refuses it as not run. */
  public Either<Failure, Permit> admit(CustomerId customer) {
    CustomerGate gate = gate(customer);
    Resource usedUp = gate.enter();
    if (usedUp != null) {
      return refuse(customer, usedUp);
    }
    return Either.right(new Permit(gate, Resource.CONCURRENT_STATEMENTS));
  }

  /** Takes in the use of one endpoint connection, or refuses it as not run. */
  public Either<Failure, Permit> admitConnection(CustomerId customer) {
    CustomerGate gate = gate(customer);
    if (!gate.enterConnection()) {
      return refuse(customer, Resource.CONNECTIONS);
    }
    return Either.right(new Permit(gate, Resource.CONNECTIONS));
  }

  /** Returns the units that a customer used or was refused since the last call. */
  public long takeDemand(CustomerId customer, Resource resource) {
    return gate(customer).takeDemand(resource);
  }

  /** Forgets a customer that the lists no longer name. */
  public void remove(CustomerId customer) {
    gates.remove(customer);
  }

  private CustomerGate gate(CustomerId customer) {
    CustomerGate known = gates.get(customer);
    return known != null
        ? known
        : gates.computeIfAbsent(customer, absent -> new CustomerGate(clock));
  }

  private static Either<Failure, Permit> refuse(CustomerId customer, Resource resource) {
    String detail = "not run: customer " + customer + " uses all of its " + resource;
    return Either.left(new Failure(ErrorKind.OVER_ALLOWANCE, detail));
  }
}
