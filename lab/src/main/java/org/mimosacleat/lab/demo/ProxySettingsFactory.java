package org.mimosacleat.lab.demo;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.IntStream;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.settings.Secret;
import org.mimosacleat.proxy.settings.AuthenticationMode;
import org.mimosacleat.proxy.settings.EndpointSettings;
import org.mimosacleat.proxy.settings.GroupSettings;
import org.mimosacleat.proxy.settings.LimitSettings;
import org.mimosacleat.proxy.settings.ListenSettings;
import org.mimosacleat.proxy.settings.MonitorSettings;
import org.mimosacleat.proxy.settings.PeerSettings;
import org.mimosacleat.proxy.settings.ProxySettings;
import org.mimosacleat.proxy.settings.ProxySettingsReader;
import org.mimosacleat.standin.endpoint.EndpointStandin;
import org.mimosacleat.standin.endpoint.GroupStandin;

/** Creates the settings of the proxies of a local fleet. */
final class ProxySettingsFactory {
  static final int PORTS_PER_PROXY = 3;

  private static final int CLIENT_PORT_INDEX = 0;
  private static final int PEER_PORT_INDEX = 1;
  private static final int OPERATIONS_PORT_INDEX = 2;
  private static final Secret PEER_KEY = new Secret("key of a local demonstration");

  private final LocalFleetConfig config;
  private final List<InetSocketAddress> addresses;

  ProxySettingsFactory(LocalFleetConfig config, List<InetSocketAddress> addresses) {
    this.config = config;
    this.addresses = addresses;
  }

  ProxySettings create(int number, List<GroupStandin> groups) {
    return new ProxySettings(
        peer(number),
        new ListenSettings(
            address(number, CLIENT_PORT_INDEX),
            address(number, PEER_PORT_INDEX),
            address(number, OPERATIONS_PORT_INDEX)),
        defaultLimits(),
        defaultMonitor(),
        PEER_KEY,
        defaults().platform(),
        AuthenticationMode.TRUST,
        IntStream.range(0, config.proxies())
            .filter(other -> other != number)
            .mapToObj(this::peer)
            .toList(),
        groups.stream().map(this::group).toList());
  }

  private PeerSettings peer(int number) {
    return new PeerSettings(
        new VmId("vm-" + (number + 1)), config.zoneFor(number), address(number, PEER_PORT_INDEX));
  }

  private InetSocketAddress address(int number, int portIndex) {
    return addresses.get(number * PORTS_PER_PROXY + portIndex);
  }

  private GroupSettings group(GroupStandin group) {
    return new GroupSettings(
        group.id(),
        "mimosacleat",
        new Secret(""),
        "postgres",
        config.endpoints().slots(),
        config.endpoints().maximumConnections(),
        group.endpoints().stream().map(ProxySettingsFactory::endpoint).toList());
  }

  private static EndpointSettings endpoint(EndpointStandin endpoint) {
    return new EndpointSettings(endpoint.id(), endpoint.zone(), endpoint.address());
  }

  private static LimitSettings defaultLimits() {
    return defaults().limits();
  }

  private static MonitorSettings defaultMonitor() {
    return defaults().monitor();
  }

  /**
   * Returns the defaults of the settings schema, used for values that a demonstration leaves unset.
   */
  private static ProxySettings defaults() {
    String requiredSettings =
        """
        [node]
        id = defaults
        zone = defaults
        address = 127.0.0.1:1
        [fleet]
        key = key of a local demonstration
        [platform]
        table-endpoint = http://127.0.0.1:1
        object-endpoint = http://127.0.0.1:1
        region = local
        access-key = local
        secret-key = local
        """;
    return ProxySettingsReader.read(requiredSettings)
        .getOrElseThrow(problems -> new IllegalStateException(problems.toString()));
  }
}
