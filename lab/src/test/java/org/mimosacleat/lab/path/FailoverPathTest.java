package org.mimosacleat.lab.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.lab.demo.FleetPlan;
import org.mimosacleat.lab.demo.LocalFleet;
import org.mimosacleat.proxy.node.ProxyNode;
import org.mimosacleat.standin.endpoint.EndpointStandin;

/** Failures on the whole path, with real proxies and the stock driver; waits have no deadline. */
class FailoverPathTest {
  private static final GroupId GROUP = new GroupId("lending-1");
  private static final int WRITES_BEFORE = 5;
  private static final int WRITES_AFTER = 5;

  private final Set<String> acknowledged = new HashSet<>();
  private LocalFleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = LocalFleet.start(FleetPlan.small(GROUP.value()).withProxies(3));
    try (Connection connection = fleet.connect(0, GROUP, "setup");
        Statement statement = connection.createStatement()) {
      statement.execute("CREATE TABLE booking (id text PRIMARY KEY)");
    }
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  @Test
  void killedPrimaryIsReplacedAndNoAcknowledgedWriteIsLost() throws SQLException {
    EndpointStandin replaced = fleet.groups().getFirst().primary();
    writeUntilAcknowledged("before", WRITES_BEFORE);

    replaced.kill();
    writeUntilAcknowledged("after", WRITES_AFTER);

    assertNotEquals(replaced.id(), fleet.groups().getFirst().primary().id());
    assertEverythingAcknowledgedIsThere();
  }

  @Test
  void cutOffPrimaryThatStillBelievesItLeadsGetsNothingAcknowledged() throws SQLException {
    EndpointStandin replaced = fleet.groups().getFirst().primary();
    writeUntilAcknowledged("before", WRITES_BEFORE);

    replaced.partitionFromGroup();
    replaced.partitionFromClients();
    writeUntilAcknowledged("after", WRITES_AFTER);
    replaced.restoreConnectivity();

    assertEverythingAcknowledgedIsThere();
  }

  @Test
  void lostHomeIsReplacedByAnotherProxy() throws SQLException {
    writeUntilAcknowledged("before", WRITES_BEFORE);
    ProxyNode home =
        fleet.proxies().stream()
            .filter(proxy -> proxy.servedGroups().contains(GROUP))
            .findFirst()
            .orElseThrow();

    home.close();
    int other = fleet.proxies().indexOf(home) == 0 ? 1 : 0;
    writeUntilAcknowledged(other, "after", WRITES_AFTER);

    assertEquals(1, fleet.groups().size());
    assertEverythingAcknowledgedIsThere(other);
  }

  @Test
  void failoverGoesOnWhileTheTableServiceIsDown() throws SQLException {
    EndpointStandin replaced = fleet.groups().getFirst().primary();
    writeUntilAcknowledged("before", WRITES_BEFORE);

    fleet.platform().tableFaults().setDown(true);
    replaced.kill();
    writeUntilAcknowledged("after", WRITES_AFTER);

    assertEverythingAcknowledgedIsThere();
  }

  @Test
  void leavingPrimaryHandsItsWorkToAnother() throws SQLException {
    EndpointStandin leaving = fleet.groups().getFirst().primary();
    writeUntilAcknowledged("before", WRITES_BEFORE);

    fleet.platform().listAsLeaving(GROUP, leaving);
    EndpointStandin now = leaving;
    for (int round = 0; now == leaving; round++) {
      writeUntilAcknowledged("while-" + round, 1);
      now = fleet.groups().getFirst().primary();
    }
    writeUntilAcknowledged("after", WRITES_AFTER);

    assertEverythingAcknowledgedIsThere();
  }

  @Test
  void stoppedProxyCutsOffNoTransactionInFlight() throws Exception {
    try (Connection connection = fleet.connect(0, GROUP, "member");
        Statement statement = connection.createStatement()) {
      connection.setAutoCommit(false);
      statement.executeUpdate("INSERT INTO booking (id) VALUES ('in-flight')");
      final CompletableFuture<Boolean> stopped = stopInBackground(fleet.proxies().getFirst());
      statement.executeUpdate("INSERT INTO booking (id) VALUES ('in-flight-too')");
      connection.commit();
      acknowledged.add("in-flight");
      acknowledged.add("in-flight-too");

      assertTrue(stopped.get());
    }
    assertEverythingAcknowledgedIsThere(1);
  }

  private static CompletableFuture<Boolean> stopInBackground(ProxyNode proxy) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return proxy.drain(Duration.ofSeconds(60));
          } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
          }
        });
  }

  private void writeUntilAcknowledged(String prefix, int count) throws SQLException {
    writeUntilAcknowledged(0, prefix, count);
  }

  private void writeUntilAcknowledged(int proxy, String prefix, int count) throws SQLException {
    try (Connection connection = fleet.connect(proxy, GROUP, "writer");
        Statement statement = connection.createStatement()) {
      int done = 0;
      for (int attempt = 0; done < count; attempt++) {
        String id = prefix + "-" + attempt;
        try {
          statement.executeUpdate("INSERT INTO booking (id) VALUES ('" + id + "')");
          acknowledged.add(id);
          done++;
        } catch (SQLException refusedOrUnknown) {
          // Only acknowledged writes count; the next attempt has another id.
        }
      }
    }
  }

  private void assertEverythingAcknowledgedIsThere() throws SQLException {
    assertEverythingAcknowledgedIsThere(0);
  }

  private void assertEverythingAcknowledgedIsThere(int proxy) throws SQLException {
    Set<String> found = new HashSet<>();
    try (Connection connection = fleet.connect(proxy, GROUP, "reader");
        Statement statement = connection.createStatement();
        ResultSet rows = statement.executeQuery("SELECT id FROM booking")) {
      while (rows.next()) {
        found.add(rows.getString(1));
      }
    }
    assertTrue(found.containsAll(acknowledged), () -> found + " lacks some of " + acknowledged);
  }
}
