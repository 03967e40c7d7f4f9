package org.mimosacleat.standin.endpoint;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;

/** Queries a stand-in through the PostgreSQL JDBC driver. */
final class JdbcClient {
  private JdbcClient() {}

  static Connection connect(EndpointStandin endpoint) throws SQLException {
    return connect(endpoint, "");
  }

  static Connection connect(EndpointStandin endpoint, String options) throws SQLException {
    int port = endpoint.address().getPort();
    String url = "jdbc:postgresql://127.0.0.1:" + port + "/test?socketTimeout=20&sslmode=disable";
    return DriverManager.getConnection(url + options, "test", "");
  }

  static void execute(Connection connection, String sql) throws SQLException {
    try (Statement statement = connection.createStatement()) {
      statement.execute(sql);
    }
  }

  /** Returns the first row of the result, or an empty list if there is none. */
  static List<String> firstRow(Connection connection, String sql) throws SQLException {
    try (Statement statement = connection.createStatement();
        ResultSet rows = statement.executeQuery(sql)) {
      List<String> values = new ArrayList<>();
      if (rows.next()) {
        for (int column = 1; column <= rows.getMetaData().getColumnCount(); column++) {
          values.add(rows.getString(column));
        }
      }
      return values;
    }
  }

  /** Repeats the query until its first row is {@code expected} or the test times out. */
  static void awaitFirstRow(Connection connection, String sql, List<String> expected)
      throws SQLException {
    List<String> actual = firstRow(connection, sql);
    while (!actual.equals(expected)) {
      checkTimeLimit(expected, actual);
      actual = firstRow(connection, sql);
    }
  }

  /** Fails if the timeout of the test has interrupted the waiting thread. */
  static void checkTimeLimit(List<String> expected, List<String> actual) {
    if (Thread.interrupted()) {
      throw new AssertionError("timed out waiting for " + expected + ", last seen: " + actual);
    }
  }
}
