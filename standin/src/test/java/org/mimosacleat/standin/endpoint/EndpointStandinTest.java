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
          EndpointSettings.defaults().withLimits(2, 4).withConnectDelay(Duration.ZERO),
          new MonotonicClock(),
          new SplittableRandom(SEED),
          new ReplicationDirectory());

  private Connection connection;

  @BeforeEach
  void open() throws SQLException {
    endpoint.start();
    connection = JdbcClient.connect(endpoint);
    JdbcClient.execute(connection, "CREATE TABLE meter (id bigint PRIMARY KEY, holder text)");
    JdbcClient.execute(connection, "INSERT INTO meter VALUES (1, 'aroha'), (2, NULL)");
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
    assertEquals(List.of("12"), JdbcClient.firstRow(connection, "SELECT count(*) FROM meter"));
  }

  @Test
  void rollbackDiscardsWritesAndOthersSeeOnlyCommittedRows() throws SQLException {
    connection.setAutoCommit(false);
    JdbcClient.execute(connection, "UPDATE meter SET id = id + 5, holder = 'wiremu' WHERE id = 1");
    assertEquals(
        List.of("wiremu"),
        JdbcClient.firstRow(connection, "SELECT holder FROM meter WHERE id = 6"));
    try (Connection other = JdbcClient.connect(endpoint)) {
      assertEquals(
          List.of("aroha"), JdbcClient.firstRow(other, "SELECT holder FROM meter WHERE id = 1"));
    }
    connection.rollback();
    assertEquals(
        List.of("1", "aroha"), JdbcClient.firstRow(connection, "SELECT * FROM meter WHERE id = 1"));
  }

  @Test
  void secondWriterWaitsForTheFirstAndSeesItsResult() throws Exception {
    connection.setAutoCommit(false);
    JdbcClient.firstRow(connection, "SELECT id FROM meter WHERE id = 1 FOR UPDATE");
    try (Connection other = JdbcClient.connect(endpoint)) {
      CompletableFuture<Void> waiting =
          CompletableFuture.runAsync(
              () -> run(other, "UPDATE meter SET id = id + 100 WHERE holder = 'mere'"));
      JdbcClient.execute(connection, "UPDATE meter SET holder = 'mere' WHERE id = 1");
      connection.commit();
      waiting.join();
    }
    assertEquals(
        List.of("101"),
        JdbcClient.firstRow(connection, "SELECT id FROM meter WHERE holder = 'mere'"));
  }

  @Test
  void errorsCarryTheirSqlStateAndFailTheTransaction() throws SQLException {
    assertSqlState("42601", "SELEKT 1");
    assertSqlState("42P01", "SELECT * FROM lantern");
    assertSqlState("23505", "INSERT INTO meter VALUES (1, 'again')");
    connection.setAutoCommit(false);
    assertSqlState("23505", "INSERT INTO meter VALUES (3, 'x'), (1, 'y')");
    assertSqlState("25P02", "SELECT 1");
    connection.rollback();
    assertEquals(List.of("2"), JdbcClient.firstRow(connection, "SELECT count(*) FROM meter"));
  }

  @Test
  void insertOnConflictDoNothingSkipsExistingKeys() throws SQLException {
    try (Statement statement = connection.createStatement()) {
      int inserted =
          statement.executeUpdate(
              "INSERT INTO meter VALUES (1, 'b'), (9, 'c') ON CONFLICT (id) DO NOTHING");
      assertEquals(1, inserted);
    }
  }

  @Test
  void statementsOfOneSimpleQueryCommitTogether() throws SQLException {
    try (Connection simple = JdbcClient.connect(endpoint, "&preferQueryMode=simple")) {
      SQLException error =
          assertThrows(
              SQLException.class,
              () -> JdbcClient.execute(simple, "DELETE FROM meter; SELECT * FROM nowhere"));
      assertEquals("42P01", error.getSQLState());
      assertEquals(List.of("2"), JdbcClient.firstRow(simple, "SELECT count(*) FROM meter"));
    }
  }

  @Test
  void cancelEndsOnlyTheRunningStatement() throws Exception {
    try (Statement statement = connection.createStatement()) {
      final long statementsBefore = endpoint.statistics().statements();
      final CompletableFuture<String> state =
          CompletableFuture.supplyAsync(() -> sqlStateOf(statement, "SELECT pg_sleep(20)"));
      // The driver sends a single cancel request, which has no effect before the statement runs.
      while (endpoint.statistics().statements() == statementsBefore) {
        JdbcClient.checkTimeLimit(List.of("a running statement"), List.of("none"));
      }
      statement.cancel();
      assertEquals("57014", state.join());
    }
    assertEquals(List.of("7"), JdbcClient.firstRow(connection, "SELECT 7"));
  }

  @Test
  void connectionOverTheMaximumIsRefused() throws SQLException {
    try (Connection second = JdbcClient.connect(endpoint);
        Connection third = JdbcClient.connect(endpoint);
        Connection fourth = JdbcClient.connect(endpoint)) {
      SQLException error = assertThrows(SQLException.class, () -> JdbcClient.connect(endpoint));
      assertEquals("53300", error.getSQLState());
      assertTrue(second.isValid(1) && third.isValid(1) && fourth.isValid(1));
    }
  }

  @Test
  void droppedResponseKeepsTheCommittedWrite() throws SQLException {
    endpoint.dropNextResponse();
    assertSqlState("08006", "DELETE FROM meter WHERE id = 2");
    try (Connection other = JdbcClient.connect(endpoint)) {
      assertEquals(List.of("1"), JdbcClient.firstRow(other, "SELECT count(*) FROM meter"));
    }
  }

  @Test
  void killDiscardsOpenTransactionAndKeepsCommittedRows() throws SQLException {
    connection.setAutoCommit(false);
    JdbcClient.execute(connection, "DELETE FROM meter");
    endpoint.kill();
    assertThrows(SQLException.class, () -> connection.commit());
    assertThrows(SQLException.class, () -> JdbcClient.connect(endpoint));
    endpoint.start();
    try (Connection other = JdbcClient.connect(endpoint)) {
      assertEquals(List.of("2"), JdbcClient.firstRow(other, "SELECT count(*) FROM meter"));
    }
  }

  @Test
  void frozenInstanceDoesNotRespondAndRunsPendingRequestsAfterThaw() throws SQLException {
    final Connection other = JdbcClient.connect(endpoint);
    endpoint.freeze();
    connection.setNetworkTimeout(Runnable::run, 100);
    assertSqlState("08006", "DELETE FROM meter WHERE id = 1");
    endpoint.thaw();
    JdbcClient.awaitFirstRow(other, "SELECT count(*) FROM meter", List.of("1"));
  }

  private void assertSqlState(String expected, String sql) {
    SQLException error =
        assertThrows(SQLException.class, () -> JdbcClient.execute(connection, sql));
    assertEquals(expected, error.getSQLState());
  }

  private static void run(Connection connection, String sql) {
    try {
      JdbcClient.execute(connection, sql);
    } catch (SQLException error) {
      throw new IllegalStateException(error);
    }
  }

  private static String sqlStateOf(Statement statement, String sql) {
    try {
      statement.execute(sql);
      return "00000";
    } catch (SQLException error) {
      return error.getSQLState();
    }
  }
}
