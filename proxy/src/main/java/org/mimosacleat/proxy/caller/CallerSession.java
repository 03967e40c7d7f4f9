package org.mimosacleat.proxy.caller;

import java.util.Optional;
import org.mimosacleat.core.id.CustomerId;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.proxy.home.TransactionOwner;
import org.mimosacleat.wire.peer.WorkRequest;
import org.mimosacleat.wire.postgres.TransactionStatus;

/** The state of one client's session on this proxy; used by one thread at a time. */
final class CallerSession {
  private final CustomerId customer;
  private final GroupId group;
  private final TransactionOwner owner;
  private final PreparedStatements prepared = new PreparedStatements();
  private final SessionSettings settings = new SessionSettings();
  private SessionHints hints;
  private Optional<VmId> transactionHome = Optional.empty();
  private long transaction = WorkRequest.NO_TRANSACTION;
  private TransactionStatus status = TransactionStatus.IDLE;

  CallerSession(CustomerId customer, GroupId group, TransactionOwner owner, SessionHints hints) {
    this.customer = customer;
    this.group = group;
    this.owner = owner;
    this.hints = hints;
  }

  CustomerId customer() {
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

  /** Tells whether the open transaction was lost and only a rollback is left to the client. */
  boolean hasLostTransaction() {
    return status == TransactionStatus.FAILED && transaction == WorkRequest.NO_TRANSACTION;
  }

  /** Records a transaction that is open after a batch. */
  void inTransaction(VmId home, long number, TransactionStatus newStatus) {
    this.transactionHome = Optional.of(home);
    this.transaction = number;
    this.status = newStatus;
  }

  /** Records that no transaction is open. */
  void idle() {
    transactionHome = Optional.empty();
    transaction = WorkRequest.NO_TRANSACTION;
    status = TransactionStatus.IDLE;
    prepared.connectionGone();
  }

  /** Records that the open transaction was lost with its connection. */
  void transactionLost() {
    idle();
    status = TransactionStatus.FAILED;
  }
}
