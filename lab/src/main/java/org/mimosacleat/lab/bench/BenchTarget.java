package org.mimosacleat.lab.bench;

import java.net.InetSocketAddress;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.util.Properties;

/**
 * The address and credentials that a measurement connects with.
 *
 * @param address the address of the endpoint or proxy
 * @param database the database; for a proxy, the name of the group
 * @param user the user name
 * @param password the password; empty if the server requires none
 */
public record BenchTarget(
    InetSocketAddress address, String database, String user, String password) {

  /** Opens a connection with the PostgreSQL JDBC driver. */
  Connection connect() throws SQLException {
    Properties properties = new Properties();
    properties.setProperty("user", user);
    properties.setProperty("password", password);
    properties.setProperty("sslmode", "disable");
    String url =
        "jdbc:postgresql://" + address.getHostString() + ":" + address.getPort() + "/" + database;
    return DriverManager.getConnection(url, properties);
  }

  /** Returns a description without the password. */
  @Override
  public String toString() {
    return user + "@" + address + "/" + database;
  }
}
