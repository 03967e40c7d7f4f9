package org.mimosacleat.lab.path;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.lab.demo.FleetPlan;
import org.mimosacleat.lab.demo.LocalFleet;

class WholePathTest {
  private static final GroupId GROUP = new GroupId("lending-1");

  private static LocalFleet fleet;

  @BeforeAll
  static void start() throws Exception {
    fleet = LocalFleet.start(FleetPlan.small(GROUP.value()));
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  @Test
  void sessionReadsItsOwnWriteThroughTheOtherProxy() throws SQLException {
    try (Connection first = fleet.connect(0, GROUP, "session-a");
        Connection second = fleet.connect(1, GROUP, "session-a");
        Statement writing = first.createStatement();
        Statement reading = second.createStatement()) {
      writing.execute("CREATE TABLE IF NOT EXISTS booking (id text PRIMARY KEY, meter text)");
      for (int round = 0; round < 20; round++) {
        writing.executeUpdate(
            "INSERT INTO booking (id, meter) VALUES ('b" + round + "', 'm" + round + "')");
        ResultSet found =
            reading.executeQuery("SELECT meter FROM booking WHERE id = 'b" + round + "'");
        found.next();
        assertEquals("m" + round, found.getString(1));
      }
    }
  }
}
