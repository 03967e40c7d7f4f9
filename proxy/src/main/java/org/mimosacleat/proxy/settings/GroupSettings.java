package org.mimosacleat.proxy.settings;

import java.util.List;
import org.mimosacleat.core.id.GroupId;

/**
 * The settings of one database group.
 *
 * @param id the name of the group, which clients specify as the database
 * @param user the database user of the proxies
 * @param password the password of the user; empty if the endpoints trust the proxies
 * @param database the name of the database on the endpoints
 * @param slots how many statements an endpoint runs concurrently
 * @param connections how many connections an endpoint allows the whole fleet
 * @param endpoints the endpoints of the group; on the first start the first one is the primary
 */
public record GroupSettings(
    GroupId id,
    String user,
    org.mimosacleat.core.settings.Secret password,
    String database,
    int slots,
    int connections,
    List<EndpointSettings> endpoints) {
  /** Makes a defensive copy of the endpoints. */
  public GroupSettings {
    endpoints = List.copyOf(endpoints);
  }
}
