package org.mimosacleat.proxy.settings;

import java.util.List;
import org.mimosacleat.core.settings.Secret;
import org.mimosacleat.store.aws.PlatformSettings;

/**
 * The settings of one proxy.
 *
 * @param self this VM, with the address that peers reach it at
 * @param listen where it listens
 * @param limits limits on connections
 * @param monitor how endpoints are watched
 * @param peerKey the key that all proxies of the fleet share
 * @param platform where the platform's services are
 * @param authentication how callers prove who they are
 * @param peers the other VMs that are known at the start
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
  /** Copies the lists. */
  public ProxySettings {
    peers = List.copyOf(peers);
    groups = List.copyOf(groups);
  }
}
