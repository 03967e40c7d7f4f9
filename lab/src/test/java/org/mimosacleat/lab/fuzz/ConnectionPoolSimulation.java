package org.mimosacleat.lab.fuzz;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.mimosacleat.core.connection.BorrowDecision;
import org.mimosacleat.core.connection.ConnectionDemandForecast;
import org.mimosacleat.core.connection.ConnectionId;
import org.mimosacleat.core.connection.ConnectionPool;
import org.mimosacleat.core.connection.ConnectionQuota;
import org.mimosacleat.core.connection.ConnectionUse;
import org.mimosacleat.core.connection.ReturnDecision;
import org.mimosacleat.core.connection.TransactionStatus;
import org.mimosacleat.core.time.PausedClock;

/**
 * Simulates the connection pool of one endpoint with transactions of several clients.
 *
 * <p>Answers are received on command only. Clients may cancel a transaction, abandon it with
 * answers outstanding, or change session settings in it.
 */
final class ConnectionPoolSimulation {
  static final int CLIENTS = 4;

  private static final int CONNECTION_LIMIT = 5;

  private final UnaryOperator<ConnectionUse> useChange;
  private final PausedClock clock = new PausedClock();
  private final ConnectionPool pool;
  private final ConnectionQuota quota =
      new ConnectionQuota(CONNECTION_LIMIT, 1, Duration.ofSeconds(1), clock);
  private final Map<ConnectionId, ServerConnection> servers = new HashMap<>();
  private final Map<Integer, BorrowedConnection> borrowedConnections = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private int lastTransactionNumber;
  private int receivedAnswers;

  /**
   * Starts with a held quota lease; {@code useChange} is the defect of a mutant in reported uses.
   */
  ConnectionPoolSimulation(UnaryOperator<ConnectionUse> useChange) {
    this.useChange = useChange;
    this.pool =
        new ConnectionPool(quota, new ConnectionDemandForecast(2, Duration.ofMillis(10), clock));
    quota.updateLease(clock.instant().plus(Duration.ofHours(1)));
    quota.updateOtherConnections(clock.instant(), 0);
  }

  List<String> violations() {
    return violations;
  }

  int receivedAnswers() {
    return receivedAnswers;
  }

  void begin(int client) {
    if (borrowedConnections.containsKey(client)) {
      return;
    }
    openAllowedConnections();
    if (pool.borrow() instanceof BorrowDecision.Borrowed(ConnectionId connection)) {
      lastTransactionNumber++;
      borrowedConnections.put(
          client, new BorrowedConnection(connection, "transaction-" + lastTransactionNumber));
      send(client, true);
    }
  }

  void statement(int client) {
    send(client, true);
  }

  void commit(int client) {
    send(client, false);
  }

  void changeSettings(int client) {
    borrowedBy(client).ifPresent(borrowed -> borrowed.settingsChanged = true);
  }

  /** Receives one answer on the connection of the client. */
  void receive(int client) {
    borrowedBy(client).ifPresent(this::receiveOne);
  }

  /** Receives all outstanding answers of the client and returns its connection. */
  void finish(int client) {
    borrowedBy(client)
        .ifPresent(
            borrowed -> {
              while (!borrowed.expectedAnswers.isEmpty()) {
                receiveOne(borrowed);
              }
              returnConnection(client, borrowed, false);
            });
  }

  /** Cancels the transaction of the client and returns its connection. */
  void cancel(int client) {
    borrowedBy(client)
        .ifPresent(
            borrowed -> returnConnection(client, borrowed, !borrowed.expectedAnswers.isEmpty()));
  }

  /** Returns the connection as the home does at a timeout, with answers still outstanding. */
  void returnWithOutstandingAnswers(int client) {
    borrowedBy(client).ifPresent(borrowed -> returnConnection(client, borrowed, false));
  }

  private Optional<BorrowedConnection> borrowedBy(int client) {
    return Optional.ofNullable(borrowedConnections.get(client));
  }

  private void openAllowedConnections() {
    Optional<ConnectionId> opening = pool.beginOpen(1);
    while (opening.isPresent()) {
      servers.put(opening.get(), new ServerConnection());
      pool.opened(opening.get());
      opening = pool.beginOpen(1);
    }
  }

  private void send(int client, boolean keepsTransactionOpen) {
    borrowedBy(client)
        .ifPresent(
            borrowed -> {
              borrowed.sentRequests++;
              String request = borrowed.transaction + " request " + borrowed.sentRequests;
              borrowed.expectedAnswers.add(request);
              ServerConnection server = servers.get(borrowed.connection);
              if (!server.transaction.isEmpty()
                  && !server.transaction.equals(borrowed.transaction)) {
                violations.add(
                    "mixed: a statement of "
                        + borrowed.transaction
                        + " ran in "
                        + server.transaction);
              }
              server.transaction = keepsTransactionOpen ? borrowed.transaction : "";
              server.answers.add(request);
            });
  }

  private void receiveOne(BorrowedConnection borrowed) {
    ServerConnection server = servers.get(borrowed.connection);
    if (borrowed.expectedAnswers.isEmpty() || server.answers.isEmpty()) {
      return;
    }
    String expected = borrowed.expectedAnswers.poll();
    String answer = server.answers.poll();
    receivedAnswers++;
    if (!expected.equals(answer)) {
      violations.add("crossed: " + expected + " got the answer of " + answer);
    }
  }

  private void returnConnection(int client, BorrowedConnection borrowed, boolean timedOut) {
    ServerConnection server = servers.get(borrowed.connection);
    TransactionStatus status =
        server.transaction.isEmpty() ? TransactionStatus.IDLE : TransactionStatus.IN_TRANSACTION;
    ConnectionUse actualUse =
        new ConnectionUse(
            status, borrowed.expectedAnswers.size(), timedOut, false, borrowed.settingsChanged);
    borrowedConnections.remove(client);
    switch (pool.returnConnection(borrowed.connection, useChange.apply(actualUse))) {
      case ReturnDecision.Reuse() -> {
        // The connection is idle again.
      }
      case ReturnDecision.Reset() -> pool.resetConfirmed(borrowed.connection);
      case ReturnDecision.Close close -> {
        servers.remove(borrowed.connection);
        pool.closed(borrowed.connection);
      }
    }
  }

  /** The endpoint's side of a connection. */
  private static final class ServerConnection {
    private final Deque<String> answers = new ArrayDeque<>();
    private String transaction = "";
  }

  /** The client's side of a connection while it is borrowed. */
  private static final class BorrowedConnection {
    private final ConnectionId connection;
    private final String transaction;
    private final Deque<String> expectedAnswers = new ArrayDeque<>();
    private int sentRequests;
    private boolean settingsChanged;

    BorrowedConnection(ConnectionId connection, String transaction) {
      this.connection = connection;
      this.transaction = transaction;
    }
  }
}
