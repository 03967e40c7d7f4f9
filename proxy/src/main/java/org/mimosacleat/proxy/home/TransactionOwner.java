package org.mimosacleat.proxy.home;

/**
 * Identifies the connection over which a transaction's statements arrive. When that connection is
 * lost, the transaction is rolled back. Compared by identity.
 */
public final class TransactionOwner {
  private final String description;

  /** Creates an owner with a description for logs, for example the name of the peer. */
  public TransactionOwner(String description) {
    this.description = description;
  }

  @Override
  public String toString() {
    return description;
  }
}
