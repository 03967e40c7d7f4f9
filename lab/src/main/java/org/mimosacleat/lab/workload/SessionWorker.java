package org.mimosacleat.lab.workload;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.tinylog.Logger;

/** Sends the requests of one session, each through a randomly chosen proxy. */
final class SessionWorker implements Runnable {
  /** The suffixes of the ids of the two rows that a transaction inserts. */
  static final List<String> ROW_SUFFIXES = List.of("/1", "/2");

  private static final int MAX_ATTEMPTS = 10;
  private static final Duration RETRY_WINDOW_AFTER_END = Duration.ofSeconds(5);
  private static final Duration RETRY_DELAY = Duration.ofMillis(300);
  private static final Optional<Duration> NO_MAX_AGE = Optional.empty();

  private final WorkloadSettings settings;
  private final String database;
  private final String session;
  private final WorkloadMeters meters;
  private final WriteOracle oracle;
  private final InstantSource clock;
  private final Instant end;
  private final RandomGenerator random;
  private final ProxyConnections connections;
  private long requestCount;

  SessionWorker(
      WorkloadSettings settings,
      String database,
      String session,
      WorkloadMeters meters,
      WriteOracle oracle,
      InstantSource clock,
      Instant end,
      RandomGenerator random) {
    this.settings = settings;
    this.database = database;
    this.session = session;
    this.meters = meters;
    this.oracle = oracle;
    this.clock = clock;
    this.end = end;
    this.random = random;
    this.connections = new ProxyConnections(settings, database, session);
  }

  @Override
  public void run() {
    try (connections) {
      while (clock.instant().isBefore(end)) {
        List<Action> actions = settings.scenario().actions();
        execute(actions.get(random.nextInt(actions.size())));
        Thread.sleep(
            Duration.ofNanos((long) (settings.pause().toNanos() * 2 * random.nextDouble())));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void execute(Action action) throws InterruptedException {
    Instant start = clock.instant();
    RequestOutcome outcome =
        switch (action) {
          case Action.NonRepeatableInsert insert -> insertWithRetries(insert);
          case Action.TransactionalInsert insert -> insertAndReadBack(insert);
          case Action.BoundedStalenessRead read -> readBoundedStaleness(read);
        };
    meters.actionMeter(action.name()).record(outcome, Duration.between(start, clock.instant()));
    boolean writeAcknowledged =
        !(action instanceof Action.BoundedStalenessRead) && outcome == RequestOutcome.SERVED;
    if (writeAcknowledged) {
      meters.gapMeter(database).recordAcknowledgement(clock.instant());
    }
  }

  private RequestOutcome insertWithRetries(Action.NonRepeatableInsert insert)
      throws InterruptedException {
    String id = nextId();
    RequestOutcome outcome = RequestOutcome.REFUSED;
    for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      RequestOutcome latest = insertOnce(insert, id);
      if (latest == RequestOutcome.SERVED) {
        outcome = latest;
        break;
      }
      boolean certainlyNotRun =
          outcome == RequestOutcome.REFUSED && latest == RequestOutcome.REFUSED;
      if (certainlyNotRun) {
        break;
      }
      outcome = RequestOutcome.UNKNOWN;
      if (clock.instant().isAfter(end.plus(RETRY_WINDOW_AFTER_END))) {
        break;
      }
      Thread.sleep(RETRY_DELAY);
    }
    oracle.record(new WriteKey(database, insert.table(), id), outcome);
    return outcome;
  }

  private RequestOutcome insertOnce(Action.NonRepeatableInsert insert, String id) {
    int proxy = randomProxy();
    boolean sent = false;
    try (Statement statement = connections.get(proxy, NO_MAX_AGE).createStatement()) {
      statement.execute("SET mimosacleat.request_id = '" + id + "'");
      statement.execute("SET mimosacleat.not_repeatable = on");
      sent = true;
      statement.executeUpdate(insertStatement(insert.table(), id));
      statement.execute("SET mimosacleat.not_repeatable = off");
      return RequestOutcome.SERVED;
    } catch (SQLException e) {
      connections.discard(proxy, NO_MAX_AGE);
      return sent ? ErrorClassifier.classify(e) : RequestOutcome.REFUSED;
    }
  }

  private RequestOutcome insertAndReadBack(Action.TransactionalInsert insert) {
    String id = nextId();
    int proxy = randomProxy();
    RequestOutcome outcome = insertInTransaction(proxy, insert, id);
    oracle.record(new WriteKey(database, insert.table(), id), outcome);
    if (outcome == RequestOutcome.SERVED) {
      readBack(randomOtherProxy(proxy), insert, id);
    }
    return outcome;
  }

  /** Any error before the commit is sent means that the transaction did not take effect. */
  private RequestOutcome insertInTransaction(
      int proxy, Action.TransactionalInsert insert, String id) {
    boolean commitSent = false;
    try {
      Connection connection = connections.get(proxy, NO_MAX_AGE);
      connection.setAutoCommit(false);
      try (Statement statement = connection.createStatement()) {
        for (String suffix : ROW_SUFFIXES) {
          statement.executeUpdate(insertStatement(insert.table(), id + suffix));
        }
      }
      commitSent = true;
      connection.commit();
      connection.setAutoCommit(true);
      return RequestOutcome.SERVED;
    } catch (SQLException e) {
      Logger.info("transaction {} failed (commit sent: {}): {}", id, commitSent, e.getMessage());
      connections.discard(proxy, NO_MAX_AGE);
      return commitSent ? ErrorClassifier.classify(e) : RequestOutcome.REFUSED;
    }
  }

  private void readBack(int proxy, Action.TransactionalInsert insert, String id) {
    Instant start = clock.instant();
    String query = "SELECT session FROM " + insert.table() + " WHERE id = ?";
    RequestOutcome outcome = RequestOutcome.SERVED;
    try (PreparedStatement statement = connections.get(proxy, NO_MAX_AGE).prepareStatement(query)) {
      statement.setString(1, id + ROW_SUFFIXES.getFirst());
      try (ResultSet rows = statement.executeQuery()) {
        if (!rows.next()) {
          meters.countStaleRead();
        }
      }
    } catch (SQLException e) {
      connections.discard(proxy, NO_MAX_AGE);
      outcome = RequestOutcome.REFUSED;
    }
    meters
        .actionMeter(WorkloadMeters.READ_BACK)
        .record(outcome, Duration.between(start, clock.instant()));
  }

  private RequestOutcome readBoundedStaleness(Action.BoundedStalenessRead read) {
    int proxy = randomProxy();
    Optional<Duration> maxStaleness = Optional.of(read.maxStaleness());
    String query = "SELECT count(*) FROM " + read.table();
    try (Statement statement = connections.get(proxy, maxStaleness).createStatement();
        ResultSet rows = statement.executeQuery(query)) {
      return rows.next() ? RequestOutcome.SERVED : RequestOutcome.REFUSED;
    } catch (SQLException e) {
      connections.discard(proxy, maxStaleness);
      return RequestOutcome.REFUSED;
    }
  }

  private String insertStatement(String table, String id) {
    return "INSERT INTO " + table + " (id, session) VALUES ('" + id + "', '" + session + "')";
  }

  private String nextId() {
    requestCount++;
    return session + "-" + requestCount;
  }

  private int randomProxy() {
    return random.nextInt(settings.proxies().size());
  }

  private int randomOtherProxy(int proxy) {
    int count = settings.proxies().size();
    return count == 1 ? proxy : (proxy + 1 + random.nextInt(count - 1)) % count;
  }
}
