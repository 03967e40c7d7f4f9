package org.mimosacleat.standin.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.sql.Connection;
import java.sql.SQLException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.position.Term;
import org.mimosacleat.core.time.PausedClock;
import org.mimosacleat.wire.postgres.admin.EndpointStatements;

@Timeout(30)
class GroupStandinTest {
  private static final long SEED = 12;
  private static final Duration RECEIVE_LAG = Duration.ofMillis(40);
  private static final Duration REPLAY_LAG = Duration.ofMillis(60);
  private static final String REPLAYED_POSITION = "SELECT pg_last_wal_replay_lsn()";
  private static final String COUNT = "SELECT count(*) FROM reading";

  private final PausedClock clock = new PausedClock();
  private final GroupStandin group =
      new GroupStandin(
          new GroupId("lending"),
          List.of(
              new AvailabilityZone("tamaki"),
              new AvailabilityZone("kirikiriroa"),
              new AvailabilityZone("te-whanganui")),
          EndpointSettings.defaults()
              .withConnectDelay(Duration.ZERO)
              .withLag(new DelayModel.Constant(RECEIVE_LAG), new DelayModel.Constant(REPLAY_LAG)),
          clock,
          new SplittableRandom(SEED));

  private Connection first;
  private Connection second;
  private Connection third;

  @BeforeEach
  void open() throws SQLException {
    group.start();
    first = JdbcClient.connect(group.endpoints().get(0));
    second = JdbcClient.connect(group.endpoints().get(1));
    third = JdbcClient.connect(group.endpoints().get(2));
    JdbcClient.execute(first, "CREATE TABLE reading (id text PRIMARY KEY)");
    advanceUntilReplicasCatchUp(second, third);
  }

  @AfterEach
  void close() {
    group.close();
  }

  @Test
  void replicaReceivesAndReplaysAfterTheConfiguredLags() throws SQLException {
    JdbcClient.execute(first, "INSERT INTO reading VALUES ('a')");
    String written = JdbcClient.firstRow(first, EndpointStatements.CURRENT_POSITION).getFirst();
    String before = JdbcClient.firstRow(second, EndpointStatements.STATUS).get(2);

    clock.advance(RECEIVE_LAG);
    JdbcClient.awaitFirstRow(
        second, EndpointStatements.STATUS, status("t", written, before, "1", null));
    assertEquals(List.of("0"), JdbcClient.firstRow(second, COUNT));
    clock.advance(REPLAY_LAG);
    JdbcClient.awaitFirstRow(
        second, EndpointStatements.STATUS, status("t", written, written, "1", null));
    assertEquals(List.of("1"), JdbcClient.firstRow(second, COUNT));
  }

  @Test
  void replicaRefusesWrites() {
    assertSqlState("25006", second, "INSERT INTO reading VALUES ('x')");
  }

  @Test
  void fencedPrimaryRefusesCommitsAndFenceTermNeverDecreases() throws SQLException {
    first.setAutoCommit(false);
    JdbcClient.execute(first, "INSERT INTO reading VALUES ('open')");
    try (Connection admin = JdbcClient.connect(group.endpoints().getFirst())) {
      JdbcClient.execute(admin, EndpointStatements.setFenceTerm(new Term(2)));
      assertSqlState("22023", admin, EndpointStatements.setFenceTerm(new Term(1)));
      assertEquals(List.of("2"), JdbcClient.firstRow(admin, "SHOW mimosacleat.fence_term"));
      assertEquals("25006", assertThrows(SQLException.class, first::commit).getSQLState());
      assertEquals(List.of("0"), JdbcClient.firstRow(admin, COUNT));
    }
  }

  @Test
  void fencedReplicaReceivesNothingFromPrimaryOfEarlierTerm() throws SQLException {
    JdbcClient.execute(second, EndpointStatements.setFenceTerm(new Term(2)));
    JdbcClient.execute(first, "INSERT INTO reading VALUES ('late')");
    advanceUntilReplicasCatchUp(third);
    assertEquals(List.of("0"), JdbcClient.firstRow(second, COUNT));
  }

  @Test
  void promotedReplicaStartsNextTimelineAndOldPrimaryDropsDivergedRecords() throws SQLException {
    group.endpoints().getFirst().partitionFromGroup();
    JdbcClient.execute(first, "INSERT INTO reading VALUES ('lost')");
    JdbcClient.execute(second, EndpointStatements.setFenceTerm(new Term(2)));
    JdbcClient.execute(third, EndpointStatements.setFenceTerm(new Term(2)));
    JdbcClient.firstRow(second, EndpointStatements.PROMOTE);
    assertEquals(List.of("2"), JdbcClient.firstRow(second, EndpointStatements.TIMELINE));
    JdbcClient.execute(second, "INSERT INTO reading VALUES ('kept')");
    assertEquals(List.of("lost"), JdbcClient.firstRow(first, "SELECT id FROM reading"));

    group.endpoints().getFirst().restoreConnectivity();
    int port = group.endpoints().get(1).address().getPort();
    for (Connection replica : List.of(first, third)) {
      JdbcClient.execute(replica, EndpointStatements.replicateFrom("127.0.0.1", port));
      JdbcClient.firstRow(replica, EndpointStatements.RELOAD);
    }
    advanceUntilReplicasCatchUpWith(second, first, third);
    assertEquals(List.of("kept"), JdbcClient.firstRow(first, "SELECT id FROM reading"));
    assertEquals(List.of("kept"), JdbcClient.firstRow(third, "SELECT id FROM reading"));
    assertSqlState("25006", first, "DELETE FROM reading");
    assertEquals(group.endpoints().get(1), group.primary());
  }

  @Test
  void replicaAheadOfItsUpstreamInSameTermKeepsItsLog() throws SQLException {
    JdbcClient.execute(third, EndpointStatements.STOP_REPLICATION);
    JdbcClient.firstRow(third, EndpointStatements.RELOAD);
    final String before = JdbcClient.firstRow(second, EndpointStatements.STATUS).get(2);
    JdbcClient.execute(first, "INSERT INTO reading VALUES ('acknowledged')");
    final String written =
        JdbcClient.firstRow(first, EndpointStatements.CURRENT_POSITION).getFirst();
    clock.advance(RECEIVE_LAG);
    JdbcClient.awaitFirstRow(
        second, EndpointStatements.STATUS, status("t", written, before, "1", null));

    int port = group.endpoints().get(2).address().getPort();
    JdbcClient.execute(second, EndpointStatements.replicateFrom("127.0.0.1", port));
    JdbcClient.firstRow(second, EndpointStatements.RELOAD);
    clock.advance(REPLAY_LAG);
    JdbcClient.awaitFirstRow(second, COUNT, List.of("1"));
  }

  private void advanceUntilReplicasCatchUp(Connection... replicas) throws SQLException {
    advanceUntilReplicasCatchUpWith(first, replicas);
  }

  private void advanceUntilReplicasCatchUpWith(Connection primary, Connection... replicas)
      throws SQLException {
    List<String> position = JdbcClient.firstRow(primary, EndpointStatements.CURRENT_POSITION);
    for (Connection replica : replicas) {
      List<String> replayed = JdbcClient.firstRow(replica, REPLAYED_POSITION);
      while (!replayed.equals(position)) {
        JdbcClient.checkTimeLimit(position, replayed);
        clock.advance(Duration.ofMillis(1));
        replayed = JdbcClient.firstRow(replica, REPLAYED_POSITION);
      }
    }
  }

  private static List<String> status(String... values) {
    return Arrays.asList(values);
  }

  private static void assertSqlState(String expected, Connection connection, String sql) {
    SQLException error =
        assertThrows(SQLException.class, () -> JdbcClient.execute(connection, sql));
    assertEquals(expected, error.getSQLState());
  }
}
