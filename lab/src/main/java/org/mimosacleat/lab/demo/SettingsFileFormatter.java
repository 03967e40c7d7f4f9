package org.mimosacleat.lab.demo;

import java.net.InetSocketAddress;
import java.util.List;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.settings.AddressType;
import org.mimosacleat.standin.endpoint.EndpointStandin;
import org.mimosacleat.standin.endpoint.GroupStandin;
import org.mimosacleat.store.aws.PlatformSettings;

/** Formats settings files for proxies that run in separate processes. */
final class SettingsFileFormatter {
  private static final int CLIENT_PORT_INDEX = 0;
  private static final int PEER_PORT_INDEX = 1;
  private static final int OPERATIONS_PORT_INDEX = 2;
  private static final int PORTS_PER_PROXY = 3;

  private final List<AvailabilityZone> zones;
  private final List<InetSocketAddress> addresses;
  private final PlatformSettings platform;
  private final List<GroupStandin> groups;

  SettingsFileFormatter(
      List<AvailabilityZone> zones,
      List<InetSocketAddress> addresses,
      PlatformSettings platform,
      List<GroupStandin> groups) {
    this.zones = zones;
    this.addresses = addresses;
    this.platform = platform;
    this.groups = groups;
  }

  /** Returns the address for clients of a proxy. */
  InetSocketAddress clientAddress(int number) {
    return addresses.get(number * PORTS_PER_PROXY + CLIENT_PORT_INDEX);
  }

  String format(int number) {
    StringBuilder text = new StringBuilder();
    appendSection(text, "node");
    appendLine(text, "id", vmId(number));
    appendLine(text, "zone", zones.get(number % zones.size()));
    appendLine(text, "address", address(number, PEER_PORT_INDEX));
    appendSection(text, "listen");
    appendLine(text, "callers", address(number, CLIENT_PORT_INDEX));
    appendLine(text, "peers", address(number, PEER_PORT_INDEX));
    appendLine(text, "operations", address(number, OPERATIONS_PORT_INDEX));
    appendSection(text, "fleet");
    appendLine(text, "key", "key of a local demonstration");
    appendSection(text, "platform");
    appendLine(text, "table-endpoint", platform.tableEndpoint());
    appendLine(text, "object-endpoint", platform.objectEndpoint());
    appendLine(text, "region", platform.region());
    appendLine(text, "access-key", platform.accessKey());
    appendLine(text, "secret-key", platform.secretKey().value());
    appendLine(text, "table", platform.table());
    appendLine(text, "bucket", platform.bucket());
    for (int other = 0; other < addresses.size() / PORTS_PER_PROXY; other++) {
      if (other != number) {
        appendSection(text, "peer " + vmId(other));
        appendLine(text, "zone", zones.get(other % zones.size()));
        appendLine(text, "address", address(other, PEER_PORT_INDEX));
      }
    }
    groups.forEach(group -> appendGroup(text, group));
    return text.toString();
  }

  private static void appendGroup(StringBuilder text, GroupStandin group) {
    appendSection(text, "group " + group.id());
    for (EndpointStandin endpoint : group.endpoints()) {
      appendSection(text, "endpoint " + endpoint.id());
      appendLine(text, "group", group.id());
      appendLine(text, "zone", endpoint.zone());
      appendLine(text, "address", AddressType.format(endpoint.address()));
    }
  }

  private static String vmId(int number) {
    return "vm-" + (number + 1);
  }

  private String address(int number, int portIndex) {
    return AddressType.format(addresses.get(number * PORTS_PER_PROXY + portIndex));
  }

  private static void appendSection(StringBuilder text, String header) {
    text.append("\n[").append(header).append("]\n");
  }

  private static void appendLine(StringBuilder text, String key, Object value) {
    text.append(key).append(" = ").append(value).append('\n');
  }
}
