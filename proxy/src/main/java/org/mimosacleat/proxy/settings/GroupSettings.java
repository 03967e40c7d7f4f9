package org.mimosacleat.proxy.settings;

import java.util.List;
import org.mimosacleat.core.id.GroupId;

/**
 * One database group.
 *
 * @param id the name that callers give as the database
 * @param user the user that proxies connect as
 * @param password its password; empty where endpoints trust the proxies
 * @param database the database on the endpoints
 * @param slots statements that an endpoint runs at once
 * @param connections connections that an endpoint allows the fleet
 * @param endpoints its endpoints; at first start the first is taken as the primary
 */
public record GroupSettings(
    GroupId id,
    String user,
    org.mimosacleat.core.settings.Secret password,
    String database,
    int slots,
    int connections,
    List<EndpointSettings> endpoints) {
  /** Copies the endpoints. */
  public GroupSettings {
    endpoints = List.copyOf(endpoints);
  }
}
