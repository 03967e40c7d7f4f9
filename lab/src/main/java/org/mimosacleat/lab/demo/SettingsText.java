package org.mimosacleat.lab.demo;

import java.net.InetSocketAddress;
import java.util.List;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.settings.AddressType;
import org.mimosacleat.standin.endpoint.EndpointStandin;
import org.mimosacleat.standin.endpoint.GroupStandin;
import org.mimosacleat.store.aws.PlatformSettings;

/** Writes the settings files of proxies that run as processes of their own. */
final class SettingsText {
  private static final int CALLERS = 0;
  private static final int PEERS = 1;
  private static final int OPERATIONS = 2;
  private static final int PORTS = 3;

  private final List<AvailabilityZone> zones;
  private final List<InetSocketAddress> addresses;
  private final PlatformSettings platform;
  private final List<GroupStandin> groups;

  SettingsText(
      List<AvailabilityZone> zones,
      List<InetSocketAddress> addresses,
      PlatformSettings platform,
      List<GroupStandin> groups) {
    this.zones = zones;
    this.addresses = addresses;
    this.platform = platform;
    this.groups = groups;
  }

  /** Returns where clients reach a proxy. */
  InetSocketAddress callers(int number) {
    return addresses.get(number * PORTS + CALLERS);
  }

  String ofProxy(int number) {
    StringBuilder text = new StringBuilder();
    section(text, "node");
    line(text, "id", vm(number));
    line(text, "zone", zones.get(number % zones.size()));
    line(text, "address", address(number, PEERS));
    section(text, "listen");
    line(text, "callers", address(number, CALLERS));
    line(text, "peers", address(number, PEERS));
    line(text, "operations", address(number, OPERATIONS));
    section(text, "fleet");
    line(text, "key", "key of a local demonstration");
    section(text, "platform");
    line(text, "table-endpoint", platform.tableEndpoint());
    line(text, "object-endpoint", platform.objectEndpoint());
    line(text, "region", platform.region());
    line(text, "access-key", platform.accessKey());
    line(text, "secret-key", platform.secretKey().value());
    line(text, "table", platform.table());
    line(text, "bucket", platform.bucket());
    for (int other = 0; other < addresses.size() / PORTS; other++) {
      if (other != number) {
        section(text, "peer " + vm(other));
        line(text, "zone", zones.get(other % zones.size()));
        line(text, "address", address(other, PEERS));
      }
    }
    groups.forEach(group -> add(text, group));
    return text.toString();
  }

  private static void add(StringBuilder text, GroupStandin group) {
    section(text, "group " + group.id());
    for (EndpointStandin endpoint : group.endpoints()) {
      section(text, "endpoint " + endpoint.id());
      line(text, "group", group.id());
      line(text, "zone", endpoint.zone());
      line(text, "address", AddressType.format(endpoint.address()));
    }
  }

  private static String vm(int number) {
    return "vm-" + (number + 1);
  }

  private String address(int number, int use) {
    return AddressType.format(addresses.get(number * PORTS + use));
  }

  private static void section(StringBuilder text, String header) {
    text.append("\n[").append(header).append("]\n");
  }

  private static void line(StringBuilder text, String key, Object value) {
    text.append(key).append(" = ").append(value).append('\n');
  }
}
