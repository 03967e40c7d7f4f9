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
import org.mimosacleat.lab.demo.LocalFleet;
import org.mimosacleat.lab.demo.LocalFleetConfig;
import org.mimosacleat.proxy.node.ProxyNode;
import org.mimosacleat.standin.endpoint.EndpointStandin;

/**
 * Faults end to end, with real proxies and the PostgreSQL JDBC driver; waits have no time limit.
 */
class FailoverEndToEndTest {
  private static final GroupId GROUP = new GroupId("lending-1");
  private static final int WRITES_BEFORE_FAULT = 5;
  private static final int WRITES_AFTER_FAULT = 5;

  private final Set<String> acknowledgedIds = new HashSet<>();
  private LocalFleet fleet;

  @BeforeEach
  void start() throws Exception {
    fleet = LocalFleet.start(LocalFleetConfig.small(GROUP.value()).withProxies(3));
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
    EndpointStandin formerPrimary = fleet.groups().getFirst().primary();
    writeUntilAcknowledged("before", WRITES_BEFORE_FAULT);

    formerPrimary.kill();
    writeUntilAcknowledged("after", WRITES_AFTER_FAULT);

    assertNotEquals(formerPrimary.id(), fleet.groups().getFirst().primary().id());
    assertAcknowledgedWritesAreStored();
  }

  @Test
  void partitionedPrimaryAcknowledgesNoWriteThatIsLost() throws SQLException {
    EndpointStandin formerPrimary = fleet.groups().getFirst().primary();
    writeUntilAcknowledged("before", WRITES_BEFORE_FAULT);

    formerPrimary.partitionFromGroup();
    formerPrimary.partitionFromClients();
    writeUntilAcknowledged("after", WRITES_AFTER_FAULT);
    formerPrimary.restoreConnectivity();

    assertAcknowledgedWritesAreStored();
  }

  @Test
  void lostHomeIsReplacedByAnotherProxy() throws SQLException {
    writeUntilAcknowledged("before", WRITES_BEFORE_FAULT);
    ProxyNode home =
        fleet.proxies().stream()
            .filter(proxy -> proxy.servedGroups().contains(GROUP))
            .findFirst()
            .orElseThrow();

    home.close();
    int otherProxy = fleet.proxies().indexOf(home) == 0 ? 1 : 0;
    writeUntilAcknowledged(otherProxy, "after", WRITES_AFTER_FAULT);

    assertEquals(1, fleet.groups().size());
    assertAcknowledgedWritesAreStored(otherProxy);
  }

  @Test
  void failoverSucceedsWhileTableServiceIsDown() throws SQLException {
    EndpointStandin formerPrimary = fleet.groups().getFirst().primary();
    writeUntilAcknowledged("before", WRITES_BEFORE_FAULT);

    fleet.platform().tableFaults().setDown(true);
    formerPrimary.kill();
    writeUntilAcknowledged("after", WRITES_AFTER_FAULT);

    assertAcknowledgedWritesAreStored();
  }

  @Test
  void leavingPrimaryIsReplacedWithoutLosingWrites() throws SQLException {
    EndpointStandin leaving = fleet.groups().getFirst().primary();
    writeUntilAcknowledged("before", WRITES_BEFORE_FAULT);

    fleet.platform().listAsLeaving(GROUP, leaving);
    EndpointStandin currentPrimary = leaving;
    for (int round = 0; currentPrimary == leaving; round++) {
      writeUntilAcknowledged("while-" + round, 1);
      currentPrimary = fleet.groups().getFirst().primary();
    }
    writeUntilAcknowledged("after", WRITES_AFTER_FAULT);

    assertAcknowledgedWritesAreStored();
  }

  @Test
  void drainingProxyAbortsNoTransactionInFlight() throws Exception {
    try (Connection connection = fleet.connect(0, GROUP, "member");
        Statement statement = connection.createStatement()) {
      connection.setAutoCommit(false);
      statement.executeUpdate("INSERT INTO booking (id) VALUES ('in-flight')");
      final CompletableFuture<Boolean> drained = drainInBackground(fleet.proxies().getFirst());
      statement.executeUpdate("INSERT INTO booking (id) VALUES ('in-flight-too')");
      connection.commit();
      acknowledgedIds.add("in-flight");
      acknowledgedIds.add("in-flight-too");

      assertTrue(drained.get());
    }
    assertAcknowledgedWritesAreStored(1);
  }

  private static CompletableFuture<Boolean> drainInBackground(ProxyNode proxy) {
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
      int writes = 0;
      for (int attempt = 0; writes < count; attempt++) {
        String id = prefix + "-" + attempt;
        try {
          statement.executeUpdate("INSERT INTO booking (id) VALUES ('" + id + "')");
          acknowledgedIds.add(id);
          writes++;
        } catch (SQLException refusedOrUnknown) {
          // Only acknowledged writes count; the next attempt uses a different id.
        }
      }
    }
  }

  private void assertAcknowledgedWritesAreStored() throws SQLException {
    assertAcknowledgedWritesAreStored(0);
  }

  private void assertAcknowledgedWritesAreStored(int proxy) throws SQLException {
    Set<String> storedIds = new HashSet<>();
    try (Connection connection = fleet.connect(proxy, GROUP, "reader");
        Statement statement = connection.createStatement();
        ResultSet rows = statement.executeQuery("SELECT id FROM booking")) {
      while (rows.next()) {
        storedIds.add(rows.getString(1));
      }
    }
    assertTrue(
        storedIds.containsAll(acknowledgedIds),
        () -> storedIds + " does not contain all acknowledged ids " + acknowledgedIds);
  }
}
