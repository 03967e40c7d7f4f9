package org.mimosacleat.proxy.client;

import java.util.Optional;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.proxy.home.TransactionOwner;
import org.mimosacleat.wire.peer.BatchRequest;
import org.mimosacleat.wire.postgres.TransactionStatus;

/** The state of a client's session on this proxy. Not thread-safe. */
final class ClientSession {
  private final TeamId customer;
  private final GroupId group;
  private final TransactionOwner owner;
  private final PreparedStatements prepared = new PreparedStatements();
  private final SessionSettings settings = new SessionSettings();
  private SessionHints hints;
  private Optional<VmId> transactionHome = Optional.empty();
  private long transaction = BatchRequest.NO_TRANSACTION;
  private TransactionStatus status = TransactionStatus.IDLE;

  ClientSession(TeamId customer, GroupId group, TransactionOwner owner, SessionHints hints) {
    this.customer = customer;
    this.group = group;
    this.owner = owner;
    this.hints = hints;
  }

  TeamId customer() {
    return customer;
  }

  GroupId group() {
    return group;
  }

  TransactionOwner owner() {
    return owner;
  }

  PreparedStatements prepared() {
    return prepared;
  }

  SessionSettings settings() {
    return settings;
  }

  SessionHints hints() {
    return hints;
  }

  void setHints(SessionHints changed) {
    this.hints = changed;
  }

  long transaction() {
    return transaction;
  }

  Optional<VmId> transactionHome() {
    return transactionHome;
  }

  TransactionStatus status() {
    return status;
  }

  /** Returns whether the transaction was lost and the client still has to end it. */
  boolean hasLostTransaction() {
    return status == TransactionStatus.FAILED && transaction == BatchRequest.NO_TRANSACTION;
  }

  /** Records that a transaction is open after a batch. */
  void setOpenTransaction(VmId home, long number, TransactionStatus newStatus) {
    this.transactionHome = Optional.of(home);
    this.transaction = number;
    this.status = newStatus;
  }

  /** Records that no transaction is open. */
  void clearTransaction() {
    transactionHome = Optional.empty();
    transaction = BatchRequest.NO_TRANSACTION;
    status = TransactionStatus.IDLE;
    prepared.clearConnection();
  }

  /** Records that the transaction failed or was lost; only COMMIT or ROLLBACK is accepted then. */
  void setTransactionLost() {
    clearTransaction();
    status = TransactionStatus.FAILED;
  }
}
