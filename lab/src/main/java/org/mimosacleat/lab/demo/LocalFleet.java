package org.mimosacleat.lab.demo;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.sql.Connection;
import java.sql.DriverManager;
import java.sql.SQLException;
import java.sql.Statement;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Properties;
import java.util.SplittableRandom;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.time.MonotonicClock;
import org.mimosacleat.proxy.node.ProxyNode;
import org.mimosacleat.standin.endpoint.GroupStandin;

/** Stand-in groups and real proxies in the same process, connected over TCP. */
public final class LocalFleet implements AutoCloseable {
  private final List<GroupStandin> groups;
  private final List<ProxyNode> proxies;
  private final LocalPlatform platform;

  private LocalFleet(List<GroupStandin> groups, List<ProxyNode> proxies, LocalPlatform platform) {
    this.platform = platform;
    this.groups = groups;
    this.proxies = proxies;
  }

  /** Starts the groups, the platform and the proxies. */
  public static LocalFleet start(LocalFleetConfig config) throws IOException {
    InstantSource clock = new MonotonicClock();
    SplittableRandom random = new SplittableRandom(config.seed());
    List<GroupStandin> groups = new ArrayList<>();
    for (GroupId id : config.groups()) {
      GroupStandin group =
          new GroupStandin(
              id,
              config.zones().subList(0, config.endpointsPerGroup()),
              config.endpoints(),
              clock,
              random.split());
      group.start();
      groups.add(group);
    }
    ProxySettingsFactory settingsFactory =
        new ProxySettingsFactory(
            config,
            FreePorts.findAddresses(config.proxies() * ProxySettingsFactory.PORTS_PER_PROXY));
    LocalPlatform platform = new LocalPlatform(clock);
    List<ProxyNode> proxies = new ArrayList<>();
    for (int number = 0; number < config.proxies(); number++) {
      proxies.add(ProxyNode.start(settingsFactory.create(number, groups), platform.services()));
    }
    return new LocalFleet(groups, proxies, platform);
  }

  /** Returns the stand-in groups. */
  public List<GroupStandin> groups() {
    return groups;
  }

  /** Returns the proxies. */
  public List<ProxyNode> proxies() {
    return proxies;
  }

  /** Returns the platform. */
  public LocalPlatform platform() {
    return platform;
  }

  /**
   * Connects to a proxy with the PostgreSQL JDBC driver.
   *
   * @param proxy the index of the proxy
   * @param group the group to use
   * @param session the session id
   */
  public Connection connect(int proxy, GroupId group, String session) throws SQLException {
    InetSocketAddress address = proxies.get(proxy).clientAddress();
    Properties properties = new Properties();
    properties.setProperty("user", LocalPlatform.CUSTOMER);
    properties.setProperty("options", "-c mimosacleat.session=" + session);
    String url = "jdbc:postgresql://127.0.0.1:" + address.getPort() + "/" + group;
    return DriverManager.getConnection(url, properties);
  }

  /** Waits until the group has executed a statement through the first proxy. */
  public void awaitServing(GroupId group) throws SQLException {
    try (Connection connection = connect(0, group, "start");
        Statement statement = connection.createStatement()) {
      statement.execute("SELECT 1");
    }
  }

  @Override
  public void close() {
    proxies.forEach(ProxyNode::close);
    groups.forEach(GroupStandin::close);
  }
}
