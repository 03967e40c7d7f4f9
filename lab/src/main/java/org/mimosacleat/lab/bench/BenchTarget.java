package org.mimosacleat.lab.bench;

import java.net.InetSocketAddress;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.util.Properties;

/**
 * Where a measurement connects to, and as whom.
 *
 * @param address the endpoint or the proxy
 * @param database the database, which is the group for a proxy
 * @param user the user
 * @param password the password; empty where none is asked for
 */
public record BenchTarget(
    InetSocketAddress address, String database, String user, String password) {

  /** Connects the stock driver. */
  Connection connect() throws SQLException {
    Properties properties = new Properties();
    properties.setProperty("user", user);
    properties.setProperty("password", password);
    properties.setProperty("sslmode", "disable");
    String url =
        "jdbc:postgresql://" + address.getHostString() + ":" + address.getPort() + "/" + database;
    return DriverManager.getConnection(url, properties);
  }

  /** Shows no password. */
  @Override
  public String toString() {
    return user + "@" + address + "/" + database;
  }
}
