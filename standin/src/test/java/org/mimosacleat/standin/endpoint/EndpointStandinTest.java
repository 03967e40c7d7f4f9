package org.mimosacleat.standin.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.sql.Connection;
import java.sql.PreparedStatement;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.time.MonotonicClock;

@Timeout(30)
class EndpointStandinTest {
  private static final long SEED = 11;

  private final EndpointStandin endpoint =
      new EndpointStandin(
          new EndpointId("lone"),
          new AvailabilityZone("tamaki"),
          EndpointSettings.defaults().withSizes(2, 4).withConnectDelay(Duration.ZERO),
          new MonotonicClock(),
          new SplittableRandom(SEED),
          new ReplicationDirectory());

  private Connection connection;

  @BeforeEach
  void open() throws SQLException {
    endpoint.start();
    connection = Driver.connect(endpoint);
    Driver.execute(connection, "CREATE TABLE meter (id bigint PRIMARY KEY, holder text)");
    Driver.execute(connection, "INSERT INTO meter VALUES (1, 'aroha'), (2, NULL)");
  }

  @AfterEach
  void close() throws SQLException {
    connection.close();
    endpoint.close();
  }

  @Test
  void preparedStatementsWorkPastTheServerSideThreshold() throws SQLException {
    try (PreparedStatement insert =
            connection.prepareStatement("INSERT INTO meter (id, holder) VALUES (?, ?)");
        PreparedStatement select =
            connection.prepareStatement("SELECT holder, id FROM meter WHERE id = ?")) {
      for (int id = 10; id < 20; id++) {
        insert.setLong(1, id);
        insert.setString(2, "it's " + id);
        assertEquals(1, insert.executeUpdate());
        select.setInt(1, id);
        try (ResultSet rows = select.executeQuery()) {
          assertTrue(rows.next());
          assertEquals("it's " + id, rows.getString(1));
          assertEquals(id, rows.getLong(2));
        }
      }
    }
    assertEquals(List.of("12"), Driver.row(connection, "SELECT count(*) FROM meter"));
  }

  @Test
  void rollbackUndoesAndOthersSeeOnlyCommittedRows() throws SQLException {
    connection.setAutoCommit(false);
    Driver.execute(connection, "UPDATE meter SET id = id + 5, holder = 'wiremu' WHERE id = 1");
    assertEquals(
        List.of("wiremu"), Driver.row(connection, "SELECT holder FROM meter WHERE id = 6"));
    try (Connection other = Driver.connect(endpoint)) {
      assertEquals(List.of("aroha"), Driver.row(other, "SELECT holder FROM meter WHERE id = 1"));
    }
    connection.rollback();
    assertEquals(List.of("1", "aroha"), Driver.row(connection, "SELECT * FROM meter WHERE id = 1"));
  }

  @Test
  void secondWriterWaitsForTheFirstAndSeesItsResult() throws Exception {
    connection.setAutoCommit(false);
    Driver.row(connection, "SELECT id FROM meter WHERE id = 1 FOR UPDATE");
    try (Connection other = Driver.connect(endpoint)) {
      CompletableFuture<Void> waiting =
          CompletableFuture.runAsync(
              () -> run(other, "UPDATE meter SET id = id + 100 WHERE holder = 'mere'"));
      Driver.execute(connection, "UPDATE meter SET holder = 'mere' WHERE id = 1");
      connection.commit();
      waiting.join();
    }
    assertEquals(
        List.of("101"), Driver.row(connection, "SELECT id FROM meter WHERE holder = 'mere'"));
  }

  @Test
  void errorsCarryTheirSqlStateAndFailTheTransaction() throws SQLException {
    assertState("42601", "SELEKT 1");
    assertState("42P01", "SELECT * FROM lantern");
    assertState("23505", "INSERT INTO meter VALUES (1, 'again')");
    connection.setAutoCommit(false);
    assertState("23505", "INSERT INTO meter VALUES (3, 'x'), (1, 'y')");
    assertState("25P02", "SELECT 1");
    connection.rollback();
    assertEquals(List.of("2"), Driver.row(connection, "SELECT count(*) FROM meter"));
  }

  @Test
  void conflictIsSkippedOnRequest() throws SQLException {
    try (Statement statement = connection.createStatement()) {
      int inserted =
          statement.executeUpdate(
              "INSERT INTO meter VALUES (1, 'b'), (9, 'c') ON CONFLICT (id) DO NOTHING");
      assertEquals(1, inserted);
    }
  }

  @Test
  void statementsOfOneSimpleQueryCommitTogether() throws SQLException {
    try (Connection simple = Driver.connect(endpoint, "&preferQueryMode=simple")) {
      SQLException error =
          assertThrows(
              SQLException.class,
              () -> Driver.execute(simple, "DELETE FROM meter; SELECT * FROM nowhere"));
      assertEquals("42P01", error.getSQLState());
      assertEquals(List.of("2"), Driver.row(simple, "SELECT count(*) FROM meter"));
    }
  }

  @Test
  void cancelEndsTheRunningStatementAlone() throws Exception {
    try (Statement statement = connection.createStatement()) {
      final long statementsBefore = endpoint.statistics().statements();
      final CompletableFuture<String> state =
          CompletableFuture.supplyAsync(() -> stateOf(statement, "SELECT pg_sleep(20)"));
      // The driver sends one request, and one that comes before the statement ends nothing.
      while (endpoint.statistics().statements() == statementsBefore) {
        Driver.checkTimeLimit(List.of("a running statement"), List.of("none"));
      }
      statement.cancel();
      assertEquals("57014", state.join());
    }
    assertEquals(List.of("7"), Driver.row(connection, "SELECT 7"));
  }

  @Test
  void connectionOverTheMaximumIsRefused() throws SQLException {
    try (Connection second = Driver.connect(endpoint);
        Connection third = Driver.connect(endpoint);
        Connection fourth = Driver.connect(endpoint)) {
      SQLException error = assertThrows(SQLException.class, () -> Driver.connect(endpoint));
      assertEquals("53300", error.getSQLState());
      assertTrue(second.isValid(1) && third.isValid(1) && fourth.isValid(1));
    }
  }

  @Test
  void droppedAnswerLeavesTheWriteInPlace() throws SQLException {
    endpoint.dropNextAnswer();
    assertState("08006", "DELETE FROM meter WHERE id = 2");
    try (Connection other = Driver.connect(endpoint)) {
      assertEquals(List.of("1"), Driver.row(other, "SELECT count(*) FROM meter"));
    }
  }

  @Test
  void killLosesTheOpenTransactionAndKeepsTheCommittedRows() throws SQLException {
    connection.setAutoCommit(false);
    Driver.execute(connection, "DELETE FROM meter");
    endpoint.kill();
    assertThrows(SQLException.class, () -> connection.commit());
    assertThrows(SQLException.class, () -> Driver.connect(endpoint));
    endpoint.start();
    try (Connection other = Driver.connect(endpoint)) {
      assertEquals(List.of("2"), Driver.row(other, "SELECT count(*) FROM meter"));
    }
  }

  @Test
  void frozenInstanceAnswersNothingAndRunsWhatArrivedAfterTheThaw() throws SQLException {
    final Connection other = Driver.connect(endpoint);
    endpoint.freeze();
    connection.setNetworkTimeout(Runnable::run, 100);
    assertState("08006", "DELETE FROM meter WHERE id = 1");
    endpoint.thaw();
    Driver.await(other, "SELECT count(*) FROM meter", List.of("1"));
  }

  private void assertState(String expected, String sql) {
    SQLException error = assertThrows(SQLException.class, () -> Driver.execute(connection, sql));
    assertEquals(expected, error.getSQLState());
  }

  private static void run(Connection connection, String sql) {
    try {
      Driver.execute(connection, sql);
    } catch (SQLException error) {
      throw new IllegalStateException(error);
    }
  }

  private static String stateOf(Statement statement, String sql) {
    try {
      statement.execute(sql);
      return "00000";
    } catch (SQLException error) {
      return error.getSQLState();
    }
  }
}
