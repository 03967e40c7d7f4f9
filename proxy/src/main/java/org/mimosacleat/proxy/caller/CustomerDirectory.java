package org.mimosacleat.proxy.caller;

import java.time.Duration;
import java.util.Optional;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.lists.CustomerAllowance;

/** Knows the customers by the lists in force. */
public interface CustomerDirectory {
  /**
   * Waits until the lists have been asked for widely enough to refuse a customer by them.
   *
   * @return whether they have, within {@code timeout}
   */
  boolean awaitReady(Duration timeout);

  /** Returns a customer's entry, if it is listed. */
  Optional<CustomerAllowance> find(CustomerId customer);
}
