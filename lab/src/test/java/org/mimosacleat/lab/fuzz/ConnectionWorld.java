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
 * The pool of one endpoint with transactions of several callers; answers arrive when a command says
 * so, and callers give up, leave or change settings in the middle.
 */
final class ConnectionWorld {
  static final int CALLERS = 4;

  private static final int LIMIT = 5;

  private final UnaryOperator<ConnectionUse> report;
  private final PausedClock clock = new PausedClock();
  private final ConnectionPool pool;
  private final ConnectionQuota quota = new ConnectionQuota(LIMIT, 1, Duration.ofSeconds(1), clock);
  private final Map<ConnectionId, Server> servers = new HashMap<>();
  private final Map<Integer, Use> uses = new HashMap<>();
  private final List<String> violations = new ArrayList<>();
  private int lastTransaction;
  private int answers;

  /** Starts with the quota held; {@code report} is what a mutant makes of the use it returns. */
  ConnectionWorld(UnaryOperator<ConnectionUse> report) {
    this.report = report;
    this.pool =
        new ConnectionPool(quota, new ConnectionDemandForecast(2, Duration.ofMillis(10), clock));
    quota.updateLease(clock.instant().plus(Duration.ofHours(1)));
    quota.updateOtherConnections(clock.instant(), 0);
  }

  List<String> violations() {
    return violations;
  }

  int answers() {
    return answers;
  }

  void begin(int caller) {
    if (uses.containsKey(caller)) {
      return;
    }
    openAll();
    if (pool.borrow() instanceof BorrowDecision.Borrowed(ConnectionId connection)) {
      lastTransaction++;
      uses.put(caller, new Use(connection, "transaction-" + lastTransaction));
      send(caller, true);
    }
  }

  void statement(int caller) {
    send(caller, true);
  }

  void commit(int caller) {
    send(caller, false);
  }

  void changeSettings(int caller) {
    use(caller).ifPresent(use -> use.settingsChanged = true);
  }

  /** One answer arrives at the caller that uses the connection. */
  void receive(int caller) {
    use(caller).ifPresent(this::receiveOne);
  }

  /** The caller reads all answers and returns the connection. */
  void finish(int caller) {
    use(caller)
        .ifPresent(
            use -> {
              while (!use.expected.isEmpty()) {
                receiveOne(use);
              }
              giveBack(caller, use, false);
            });
  }

  /** The caller gives up in the middle. */
  void giveUp(int caller) {
    use(caller).ifPresent(use -> giveBack(caller, use, !use.expected.isEmpty()));
  }

  /** The home returns the connection at a timeout while answers are outstanding. */
  void leaveBehind(int caller) {
    use(caller).ifPresent(use -> giveBack(caller, use, false));
  }

  private Optional<Use> use(int caller) {
    return Optional.ofNullable(uses.get(caller));
  }

  private void openAll() {
    Optional<ConnectionId> opening = pool.beginOpen(1);
    while (opening.isPresent()) {
      servers.put(opening.get(), new Server());
      pool.opened(opening.get());
      opening = pool.beginOpen(1);
    }
  }

  private void send(int caller, boolean keepsOpen) {
    use(caller)
        .ifPresent(
            use -> {
              use.sent++;
              String request = use.transaction + " request " + use.sent;
              use.expected.add(request);
              Server server = servers.get(use.connection);
              if (!server.transaction.isEmpty() && !server.transaction.equals(use.transaction)) {
                violations.add(
                    "mixed: a statement of " + use.transaction + " ran in " + server.transaction);
              }
              server.transaction = keepsOpen ? use.transaction : "";
              server.answers.add(request);
            });
  }

  private void receiveOne(Use use) {
    Server server = servers.get(use.connection);
    if (use.expected.isEmpty() || server.answers.isEmpty()) {
      return;
    }
    String expected = use.expected.poll();
    String answer = server.answers.poll();
    answers++;
    if (!expected.equals(answer)) {
      violations.add("crossed: " + expected + " got the answer of " + answer);
    }
  }

  private void giveBack(int caller, Use use, boolean timedOut) {
    Server server = servers.get(use.connection);
    TransactionStatus status =
        server.transaction.isEmpty() ? TransactionStatus.IDLE : TransactionStatus.IN_TRANSACTION;
    ConnectionUse real =
        new ConnectionUse(status, use.expected.size(), timedOut, false, use.settingsChanged);
    uses.remove(caller);
    switch (pool.returnConnection(use.connection, report.apply(real))) {
      case ReturnDecision.Reuse() -> {
        // It is idle again.
      }
      case ReturnDecision.Reset() -> pool.resetConfirmed(use.connection);
      case ReturnDecision.Close close -> {
        servers.remove(use.connection);
        pool.closed(use.connection);
      }
    }
  }

  /** The endpoint's side of a connection. */
  private static final class Server {
    private final Deque<String> answers = new ArrayDeque<>();
    private String transaction = "";
  }

  /** The caller's side while it has a connection. */
  private static final class Use {
    private final ConnectionId connection;
    private final String transaction;
    private final Deque<String> expected = new ArrayDeque<>();
    private int sent;
    private boolean settingsChanged;

    Use(ConnectionId connection, String transaction) {
      this.connection = connection;
      this.transaction = transaction;
    }
  }
}
