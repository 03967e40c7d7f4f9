package org.mimosacleat.lab.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.lab.demo.LocalFleet;
import org.mimosacleat.lab.demo.LocalFleetConfig;

class RequestIdEndToEndTest {
  private static final GroupId GROUP = new GroupId("lending-1");

  private static LocalFleet fleet;

  @BeforeAll
  static void start() throws Exception {
    fleet = LocalFleet.start(LocalFleetConfig.small(GROUP.value()));
    try (Connection connection = fleet.connect(0, GROUP, "setup");
        Statement statement = connection.createStatement()) {
      statement.execute("CREATE TABLE charge (amount text)");
    }
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  @Test
  void retryThroughAnotherProxyReturnsRecordedResult() throws SQLException {
    assertEquals(1, charge(0, "r-1", "10"));
    assertEquals(1, charge(1, "r-1", "10"));

    assertEquals(1, count("10"));
  }

  @Test
  void sameRequestIdForDifferentStatementIsRefused() throws SQLException {
    charge(0, "r-2", "20");

    SQLException refusal = assertThrows(SQLException.class, () -> charge(1, "r-2", "21"));
    assertEquals("22023", refusal.getSQLState());
    assertEquals(0, count("21"));
  }

  @Test
  void failedStatementLeavesNoRequestRecord() throws SQLException {
    assertThrows(SQLException.class, () -> execute(0, "r-3", "INSERT INTO missing VALUES ('1')"));

    assertEquals(1, charge(1, "r-3", "30"));
    assertEquals(1, count("30"));
  }

  private static int charge(int proxy, String requestId, String amount) throws SQLException {
    return execute(proxy, requestId, "INSERT INTO charge (amount) VALUES ('" + amount + "')");
  }

  private static int execute(int proxy, String requestId, String sql) throws SQLException {
    try (Connection connection = fleet.connect(proxy, GROUP, "member");
        Statement statement = connection.createStatement()) {
      statement.execute("SET mimosacleat.request_id = '" + requestId + "'");
      return statement.executeUpdate(sql);
    }
  }

  private static int count(String amount) throws SQLException {
    try (Connection connection = fleet.connect(0, GROUP, "member");
        Statement statement = connection.createStatement();
        ResultSet rows =
            statement.executeQuery("SELECT count(*) FROM charge WHERE amount = '" + amount + "'")) {
      rows.next();
      return rows.getInt(1);
    }
  }
}
