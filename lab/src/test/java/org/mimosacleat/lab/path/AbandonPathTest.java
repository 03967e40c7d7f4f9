package org.mimosacleat.lab.path;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.lab.demo.FleetPlan;
import org.mimosacleat.lab.demo.LocalFleet;

/**
 * Three groups on two proxies, so that two of them have their homes on one proxy, which the other
 * reaches over one link. In each round every group opens one transaction, so that the numbers of
 * all groups stay the same.
 */
class AbandonPathTest {
  private static final List<GroupId> GROUPS =
      List.of(new GroupId("lending-1"), new GroupId("lending-2"), new GroupId("lending-3"));
  private static final int PROXIES = 2;
  private static final int STATEMENTS_AFTER = 5;

  @Test
  void leavingClientEndsNoTransactionOfAnotherGroup() throws Exception {
    FleetPlan small = FleetPlan.small("lending-1");
    FleetPlan plan =
        new FleetPlan(small.zones(), PROXIES, GROUPS, 3, small.endpoints(), small.seed());
    try (LocalFleet fleet = LocalFleet.start(plan)) {
      for (int proxy = 0; proxy < PROXIES; proxy++) {
        for (GroupId leaving : GROUPS) {
          runRound(fleet, proxy, leaving);
        }
      }
    }
  }

  private static void runRound(LocalFleet fleet, int proxy, GroupId leavingGroup)
      throws SQLException {
    List<Connection> staying = new ArrayList<>();
    try (Connection _ = open(fleet, proxy, leavingGroup)) {
      for (GroupId group : GROUPS) {
        if (!group.equals(leavingGroup)) {
          staying.add(open(fleet, proxy, group));
        }
      }
    }
    for (Connection connection : staying) {
      useAndClose(connection);
    }
  }

  private static Connection open(LocalFleet fleet, int proxy, GroupId group) throws SQLException {
    Connection connection = fleet.connect(proxy, group, "member");
    connection.setAutoCommit(false);
    execute(connection);
    return connection;
  }

  private static void useAndClose(Connection connection) throws SQLException {
    try (connection) {
      for (int statement = 0; statement < STATEMENTS_AFTER; statement++) {
        execute(connection);
      }
      connection.commit();
    }
  }

  private static void execute(Connection connection) throws SQLException {
    try (Statement statement = connection.createStatement()) {
      assertEquals(true, statement.execute("SELECT 1"));
    }
  }
}
