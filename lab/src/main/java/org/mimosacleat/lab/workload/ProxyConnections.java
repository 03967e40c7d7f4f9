package org.mimosacleat.lab.workload;

import java.net.InetSocketAddress;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Properties;

/**
 * The connections of one session, opened on first use. For each proxy, there is one connection with
 * read-your-writes consistency and one for each maximum staleness of bounded-staleness reads.
 */
final class ProxyConnections implements AutoCloseable {
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(10);

  private final WorkloadSettings settings;
  private final String database;
  private final String session;
  private final Map<ConnectionKey, Connection> openConnections = new HashMap<>();

  ProxyConnections(WorkloadSettings settings, String database, String session) {
    this.settings = settings;
    this.database = database;
    this.session = session;
  }

  Connection get(int proxy, Optional<Duration> maxStaleness) throws SQLException {
    ConnectionKey key = new ConnectionKey(proxy, maxStaleness);
    Connection connection = openConnections.get(key);
    if (connection == null) {
      connection = connect(key);
      openConnections.put(key, connection);
    }
    return connection;
  }

  /** Closes a connection after an error, so that the next request opens a new one. */
  void discard(int proxy, Optional<Duration> maxStaleness) {
    closeQuietly(openConnections.remove(new ConnectionKey(proxy, maxStaleness)));
  }

  @Override
  public void close() {
    openConnections.values().forEach(ProxyConnections::closeQuietly);
    openConnections.clear();
  }

  private Connection connect(ConnectionKey key) throws SQLException {
    Properties properties = new Properties();
    properties.setProperty("user", settings.user());
    properties.setProperty("password", settings.password());
    properties.setProperty("sslmode", "disable");
    properties.setProperty("connectTimeout", Long.toString(CONNECT_TIMEOUT.toSeconds()));
    properties.setProperty("socketTimeout", Long.toString(RESPONSE_TIMEOUT.toSeconds()));
    properties.setProperty("options", options(key));
    InetSocketAddress address = settings.proxies().get(key.proxy());
    String url =
        "jdbc:postgresql://" + address.getHostString() + ":" + address.getPort() + "/" + database;
    return DriverManager.getConnection(url, properties);
  }

  private String options(ConnectionKey key) {
    String sessionOption = "-c mimosacleat.session=" + session;
    return key.maxStaleness()
        .map(age -> sessionOption + " -c mimosacleat.max_age=" + age.toMillis() + "ms")
        .orElse(sessionOption);
  }

  private static void closeQuietly(Connection connection) {
    try {
      if (connection != null) {
        connection.close();
      }
    } catch (SQLException ignored) {
      // The connection is discarded even if closing it fails.
    }
  }

  private record ConnectionKey(int proxy, Optional<Duration> maxStaleness) {}
}
