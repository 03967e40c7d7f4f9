package org.mimosacleat.lab.path;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.sql.Connection;
import java.sql.SQLException;
import java.sql.Statement;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.lab.demo.FleetPlan;
import org.mimosacleat.lab.demo.LocalFleet;

class AbandonPathTest {
  private static final GroupId FIRST = new GroupId("lending-1");
  private static final GroupId SECOND = new GroupId("lending-2");

  @Test
  void leavingClientEndsNoTransactionOfAnotherGroup() throws Exception {
    FleetPlan small = FleetPlan.small(FIRST.value());
    FleetPlan plan =
        new FleetPlan(small.zones(), 2, List.of(FIRST, SECOND), 3, small.endpoints(), small.seed());
    try (LocalFleet fleet = LocalFleet.start(plan)) {
      for (int proxy = 0; proxy < 2; proxy++) {
        checkThrough(fleet, proxy);
      }
    }
  }

  private static void checkThrough(LocalFleet fleet, int proxy) throws SQLException {
    try (Connection staying = fleet.connect(proxy, SECOND, "staying");
        Statement statement = staying.createStatement()) {
      statement.execute("CREATE TABLE IF NOT EXISTS booking (id text)");
      staying.setAutoCommit(false);
      statement.executeUpdate("INSERT INTO booking (id) VALUES ('one')");
      openAndLeave(fleet, proxy);
      assertEquals(1, statement.executeUpdate("INSERT INTO booking (id) VALUES ('two')"));
      staying.commit();
    }
  }

  /** Leaves as many transactions as it takes to meet the number of the one that stays. */
  private static void openAndLeave(LocalFleet fleet, int proxy) throws SQLException {
    for (int number = 0; number < 4; number++) {
      try (Connection leaving = fleet.connect(proxy, FIRST, "leaving");
          Statement statement = leaving.createStatement()) {
        leaving.setAutoCommit(false);
        statement.execute("SELECT 1");
      }
    }
  }
}
