package org.mimosacleat.lab.path;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.lab.demo.LocalFleet;
import org.mimosacleat.lab.demo.LocalFleetConfig;

/**
 * Guards against the disconnect of a client ending the transaction of another group with the same
 * number on the same peer connection. With three groups on two proxies, two groups have their home
 * on the same proxy and share the connection from the other proxy. In each round, every group opens
 * one transaction, so that the numbers of all groups stay equal.
 */
class ClientDisconnectEndToEndTest {
  private static final List<GroupId> GROUPS =
      List.of(new GroupId("lending-1"), new GroupId("lending-2"), new GroupId("lending-3"));
  private static final int PROXIES = 2;
  private static final int STATEMENTS_AFTER_DISCONNECT = 5;

  @Test
  void clientDisconnectEndsNoTransactionOfAnotherGroup() throws Exception {
    LocalFleetConfig small = LocalFleetConfig.small("lending-1");
    LocalFleetConfig config =
        new LocalFleetConfig(small.zones(), PROXIES, GROUPS, 3, small.endpoints(), small.seed());
    try (LocalFleet fleet = LocalFleet.start(config)) {
      for (int proxy = 0; proxy < PROXIES; proxy++) {
        for (GroupId disconnectingGroup : GROUPS) {
          runRound(fleet, proxy, disconnectingGroup);
        }
      }
    }
  }

  private static void runRound(LocalFleet fleet, int proxy, GroupId disconnectingGroup)
      throws SQLException {
    List<Connection> remaining = new ArrayList<>();
    try (Connection _ = openTransaction(fleet, proxy, disconnectingGroup)) {
      for (GroupId group : GROUPS) {
        if (!group.equals(disconnectingGroup)) {
          remaining.add(openTransaction(fleet, proxy, group));
        }
      }
    }
    for (Connection connection : remaining) {
      commitAndClose(connection);
    }
  }

  private static Connection openTransaction(LocalFleet fleet, int proxy, GroupId group)
      throws SQLException {
    Connection connection = fleet.connect(proxy, group, "member");
    connection.setAutoCommit(false);
    executeStatement(connection);
    return connection;
  }

  private static void commitAndClose(Connection connection) throws SQLException {
    try (connection) {
      for (int statement = 0; statement < STATEMENTS_AFTER_DISCONNECT; statement++) {
        executeStatement(connection);
      }
      connection.commit();
    }
  }

  private static void executeStatement(Connection connection) throws SQLException {
    try (Statement statement = connection.createStatement()) {
      assertEquals(true, statement.execute("SELECT 1"));
    }
  }
}
