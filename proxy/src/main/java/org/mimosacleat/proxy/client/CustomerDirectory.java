package org.mimosacleat.proxy.client;

import java.time.Duration;
import java.util.Optional;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.lists.CustomerAllowance;

/** Looks up customers in the operators' active lists. */
public interface CustomerDirectory {
  /**
   * Waits until enough sources have been queried for the lists that a customer missing from them
   * can be refused.
   *
   * @return false if this was not the case within {@code timeout}
   */
  boolean awaitReady(Duration timeout);

  /** Returns the entry of a customer; empty if it is not listed. */
  Optional<CustomerAllowance> find(TeamId customer);
}
