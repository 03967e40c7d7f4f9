package org.mimosacleat.standin.endpoint;

import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;

/** Reaches a stand-in through the stock JDBC driver. */
final class Driver {
  private Driver() {}

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

  /** Returns the first row. */
  static List<String> row(Connection connection, String sql) throws SQLException {
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

  /** Repeats the query until the first row is {@code expected} or the test's time limit is over. */
  static void await(Connection connection, String sql, List<String> expected) throws SQLException {
    List<String> present = row(connection, sql);
    while (!present.equals(expected)) {
      checkTimeLimit(expected, present);
      present = row(connection, sql);
    }
  }

  /** Fails once the test's time limit has interrupted the waiting thread. */
  static void checkTimeLimit(List<String> expected, List<String> present) {
    if (Thread.interrupted()) {
      throw new AssertionError("waited for " + expected + ", but it is still " + present);
    }
  }
}
