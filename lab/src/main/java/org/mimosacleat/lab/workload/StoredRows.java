package org.mimosacleat.lab.workload;

import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Creates the tables and reads all their rows from the primary through any available proxy. */
final class StoredRows {
  private static final int MAX_ATTEMPTS = 60;
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);

  private final WorkloadSettings settings;

  StoredRows(WorkloadSettings settings) {
    this.settings = settings;
  }

  void createTables() throws SQLException, InterruptedException {
    for (String database : settings.databases()) {
      for (Action action : settings.scenario().actions()) {
        String constraint = action instanceof Action.NonRepeatableInsert ? "" : " PRIMARY KEY";
        String create =
            "CREATE TABLE IF NOT EXISTS "
                + action.table()
                + " (id text"
                + constraint
                + ", session text)";
        runWithRetries(
            database,
            connection -> {
              try (Statement statement = connection.createStatement()) {
                statement.execute(create);
              }
              return create;
            });
      }
    }
  }

  /** Returns the number of rows with each id. */
  Map<String, Integer> countById(String database, String table)
      throws SQLException, InterruptedException {
    return runWithRetries(database, connection -> readCountById(connection, table));
  }

  /** Reads in a read-write transaction, which runs on the primary. */
  private static Map<String, Integer> readCountById(Connection connection, String table)
      throws SQLException {
    Map<String, Integer> counts = new HashMap<>();
    connection.setAutoCommit(false);
    try (Statement statement = connection.createStatement();
        ResultSet rows = statement.executeQuery("SELECT id FROM " + table)) {
      while (rows.next()) {
        counts.merge(rows.getString(1), 1, Integer::sum);
      }
    }
    connection.rollback();
    return counts;
  }

  private <T> T runWithRetries(String database, DatabaseTask<T> task)
      throws SQLException, InterruptedException {
    SQLException lastError = null;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      int proxy = attempt % settings.proxies().size();
      try (ProxyConnections connections =
          new ProxyConnections(settings, database, "workload-" + database)) {
        return task.run(connections.get(proxy, Optional.empty()));
      } catch (SQLException e) {
        lastError = e;
        Thread.sleep(RETRY_DELAY);
      }
    }
    throw lastError;
  }

  private interface DatabaseTask<T> {
    T run(Connection connection) throws SQLException;
  }
}
