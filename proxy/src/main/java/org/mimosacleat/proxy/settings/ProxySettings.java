package org.mimosacleat.proxy.settings;

import java.util.List;
import org.mimosacleat.core.settings.Secret;
import org.mimosacleat.store.aws.PlatformSettings;

/**
 * The settings of one proxy.
 *
 * @param self this VM, with the address that other proxies connect to
 * @param listen the addresses that it listens on
 * @param limits limits on client connections
 * @param monitor how endpoints are polled
 * @param peerKey the key that all proxies of the fleet share
 * @param platform how to reach the platform's services
 * @param authentication how clients are authenticated
 * @param peers the other VMs that are known at startup
 * @param groups the database groups
 */
public record ProxySettings(
    PeerSettings self,
    ListenSettings listen,
    LimitSettings limits,
    MonitorSettings monitor,
    Secret peerKey,
    PlatformSettings platform,
    AuthenticationMode authentication,
    List<PeerSettings> peers,
    List<GroupSettings> groups) {
  /** Makes defensive copies of the lists. */
  public ProxySettings {
    peers = List.copyOf(peers);
    groups = List.copyOf(groups);
  }
}
