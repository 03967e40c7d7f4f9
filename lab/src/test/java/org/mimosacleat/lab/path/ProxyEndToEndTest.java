package org.mimosacleat.lab.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.sql.Connection;
import java.sql.ResultSet;
import java.sql.SQLException;
import java.sql.Statement;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.status.ProxyStatus;
import org.mimosacleat.lab.demo.LocalFleet;
import org.mimosacleat.lab.demo.LocalFleetConfig;
import org.mimosacleat.store.status.StatusReader;

class ProxyEndToEndTest {
  private static final GroupId GROUP = new GroupId("lending-1");

  private static LocalFleet fleet;

  @BeforeAll
  static void start() throws Exception {
    fleet = LocalFleet.start(LocalFleetConfig.small(GROUP.value()));
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  @Test
  void sessionReadsItsOwnWriteThroughTheOtherProxy() throws SQLException {
    try (Connection first = fleet.connect(0, GROUP, "session-a");
        Connection second = fleet.connect(1, GROUP, "session-a");
        Statement writer = first.createStatement();
        Statement reader = second.createStatement()) {
      writer.execute("CREATE TABLE IF NOT EXISTS booking (id text PRIMARY KEY, meter text)");
      for (int round = 0; round < 20; round++) {
        writer.executeUpdate(
            "INSERT INTO booking (id, meter) VALUES ('b"
                + round
                + "', 'm"
                + round
                + "')"
                + " ON CONFLICT DO NOTHING");
        ResultSet found =
            reader.executeQuery("SELECT meter FROM booking WHERE id = 'b" + round + "'");
        found.next();
        assertEquals("m" + round, found.getString(1));
      }
    }
  }

  @Test
  void statusAndMetricsDescribeTheProxy() throws Exception {
    sessionReadsItsOwnWriteThroughTheOtherProxy();
    InetSocketAddress address = fleet.proxies().getFirst().operationsAddress();

    ProxyStatus status =
        StatusReader.parse(fetch(address, "/status"))
            .getOrElseThrow(failure -> new AssertionError(failure.detail()));
    String metrics = fetch(address, "/metrics");

    assertEquals(2, status.lists().size());
    assertEquals(GROUP, status.groups().getFirst().group());
    assertTrue(metrics.contains("mimosacleat_batches_answered_seconds_count"), metrics);
  }

  private static String fetch(InetSocketAddress address, String path) throws Exception {
    URI uri = URI.create("http://127.0.0.1:" + address.getPort() + path);
    try (HttpClient client = HttpClient.newHttpClient()) {
      return client
          .send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString())
          .body();
    }
  }
}
