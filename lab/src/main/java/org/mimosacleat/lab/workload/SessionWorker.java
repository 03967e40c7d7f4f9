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

/** Makes the requests of one session, each through a proxy chosen at random. */
final class SessionWorker implements Runnable {
  /** What follows the id of a transaction's first and second row. */
  static final List<String> ROW_SUFFIXES = List.of("/1", "/2");

  private static final int MOST_ATTEMPTS = 10;
  private static final Duration REPEATS_AFTER_END = Duration.ofSeconds(5);
  private static final Duration PAUSE_BEFORE_REPEAT = Duration.ofMillis(300);
  private static final Optional<Duration> OWN_DATA = Optional.empty();

  private final WorkloadSettings settings;
  private final String database;
  private final String session;
  private final WorkloadMeters meters;
  private final WriteOracle oracle;
  private final InstantSource clock;
  private final Instant end;
  private final RandomGenerator random;
  private final ProxyConnections connections;
  private long requests;

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
        perform(actions.get(random.nextInt(actions.size())));
        Thread.sleep(
            Duration.ofNanos((long) (settings.pause().toNanos() * 2 * random.nextDouble())));
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  private void perform(Action action) throws InterruptedException {
    Instant start = clock.instant();
    RequestOutcome outcome =
        switch (action) {
          case Action.Charge charge -> charge(charge);
          case Action.Append append -> append(append);
          case Action.Browse browse -> browse(browse);
        };
    meters.action(action.name()).record(outcome, Duration.between(start, clock.instant()));
    boolean wrote = !(action instanceof Action.Browse) && outcome == RequestOutcome.SERVED;
    if (wrote) {
      meters.gap(database).acknowledge(clock.instant());
    }
  }

  private RequestOutcome charge(Action.Charge charge) throws InterruptedException {
    String id = nextId();
    RequestOutcome outcome = RequestOutcome.REFUSED;
    for (int attempt = 1; attempt <= MOST_ATTEMPTS; attempt++) {
      RequestOutcome latest = chargeOnce(charge, id);
      if (latest == RequestOutcome.SERVED) {
        outcome = latest;
        break;
      }
      boolean certain = outcome == RequestOutcome.REFUSED && latest == RequestOutcome.REFUSED;
      if (certain) {
        break;
      }
      outcome = RequestOutcome.UNKNOWN;
      if (clock.instant().isAfter(end.plus(REPEATS_AFTER_END))) {
        break;
      }
      Thread.sleep(PAUSE_BEFORE_REPEAT);
    }
    oracle.record(new EntryKey(database, charge.table(), id), outcome);
    return outcome;
  }

  private RequestOutcome chargeOnce(Action.Charge charge, String id) {
    int proxy = anyProxy();
    boolean sent = false;
    try (Statement statement = connections.get(proxy, OWN_DATA).createStatement()) {
      statement.execute("SET mimosacleat.request_id = '" + id + "'");
      statement.execute("SET mimosacleat.not_repeatable = on");
      sent = true;
      statement.executeUpdate(insert(charge.table(), id));
      statement.execute("SET mimosacleat.not_repeatable = off");
      return RequestOutcome.SERVED;
    } catch (SQLException error) {
      connections.drop(proxy, OWN_DATA);
      return sent ? AnswerClassifier.classify(error) : RequestOutcome.REFUSED;
    }
  }

  private RequestOutcome append(Action.Append append) {
    String id = nextId();
    int proxy = anyProxy();
    RequestOutcome outcome = appendThrough(proxy, append, id);
    oracle.record(new EntryKey(database, append.table(), id), outcome);
    if (outcome == RequestOutcome.SERVED) {
      readBack(otherProxy(proxy), append, id);
    }
    return outcome;
  }

  /** Until the commit is sent, an error of any kind means that nothing ran. */
  private RequestOutcome appendThrough(int proxy, Action.Append append, String id) {
    boolean committing = false;
    try {
      Connection connection = connections.get(proxy, OWN_DATA);
      connection.setAutoCommit(false);
      try (Statement statement = connection.createStatement()) {
        for (String suffix : ROW_SUFFIXES) {
          statement.executeUpdate(insert(append.table(), id + suffix));
        }
      }
      committing = true;
      connection.commit();
      connection.setAutoCommit(true);
      return RequestOutcome.SERVED;
    } catch (SQLException error) {
      Logger.info("transaction {} failed, commit sent: {}: {}", id, committing, error.getMessage());
      connections.drop(proxy, OWN_DATA);
      return committing ? AnswerClassifier.classify(error) : RequestOutcome.REFUSED;
    }
  }

  private void readBack(int proxy, Action.Append append, String id) {
    Instant start = clock.instant();
    String query = "SELECT session FROM " + append.table() + " WHERE id = ?";
    RequestOutcome outcome = RequestOutcome.SERVED;
    try (PreparedStatement statement = connections.get(proxy, OWN_DATA).prepareStatement(query)) {
      statement.setString(1, id + ROW_SUFFIXES.getFirst());
      try (ResultSet rows = statement.executeQuery()) {
        if (!rows.next()) {
          meters.countStaleRead();
        }
      }
    } catch (SQLException refused) {
      connections.drop(proxy, OWN_DATA);
      outcome = RequestOutcome.REFUSED;
    }
    meters
        .action(WorkloadMeters.READ_BACK)
        .record(outcome, Duration.between(start, clock.instant()));
  }

  private RequestOutcome browse(Action.Browse browse) {
    int proxy = anyProxy();
    Optional<Duration> age = Optional.of(browse.maximumAge());
    String query = "SELECT count(*) FROM " + browse.table();
    try (Statement statement = connections.get(proxy, age).createStatement();
        ResultSet rows = statement.executeQuery(query)) {
      return rows.next() ? RequestOutcome.SERVED : RequestOutcome.REFUSED;
    } catch (SQLException refused) {
      connections.drop(proxy, age);
      return RequestOutcome.REFUSED;
    }
  }

  private String insert(String table, String id) {
    return "INSERT INTO " + table + " (id, session) VALUES ('" + id + "', '" + session + "')";
  }

  private String nextId() {
    requests++;
    return session + "-" + requests;
  }

  private int anyProxy() {
    return random.nextInt(settings.proxies().size());
  }

  private int otherProxy(int proxy) {
    int count = settings.proxies().size();
    return count == 1 ? proxy : (proxy + 1 + random.nextInt(count - 1)) % count;
  }
}
