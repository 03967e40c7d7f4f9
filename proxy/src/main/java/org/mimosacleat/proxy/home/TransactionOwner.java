package org.mimosacleat.proxy.home;

/**
 * Stands for the connection that a transaction's statements come over: when it is lost, the
 * transaction is rolled back. Compared by identity.
 */
public final class TransactionOwner {
  private final String description;

  /** Takes a description for logs, for example the name of the peer. */
  public TransactionOwner(String description) {
    this.description = description;
  }

  @Override
  public String toString() {
    return description;
  }
}
