package org.mimosacleat.serving.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.id.TeamId;

/** The teams of a configuration, by id and by key; immutable. */
public final class Teams {
  /** No teams are configured: callers need no key. */
  public static final Teams NOT_CONFIGURED = new Teams(false, Map.of(), Map.of());

  private final boolean configured;
  private final Map<TeamId, Team> byId;
  private final Map<ApiKey, TeamId> byKey;

  private Teams(boolean configured, Map<TeamId, Team> byId, Map<ApiKey, TeamId> byKey) {
    this.configured = configured;
    this.byId = byId;
    this.byKey = byKey;
  }

  /**
   * Returns the index of teams with different ids. A key of several teams belongs to the first.
   * Keys are required even if there is no team, as when all entries of the list are invalid.
   */
  public static Teams of(Collection<Team> teams) {
    Map<TeamId, Team> byId = new HashMap<>();
    Map<ApiKey, TeamId> byKey = new HashMap<>();
    for (Team team : teams) {
      if (byId.putIfAbsent(team.id(), team) == null) {
        team.keys().forEach(key -> byKey.putIfAbsent(key, team.id()));
      }
    }
    return new Teams(true, Map.copyOf(byId), Map.copyOf(byKey));
  }

  /** Returns whether the configuration lists teams, so that callers need a key. */
  public boolean areConfigured() {
    return configured;
  }

  /** Returns a team by its id. */
  public Optional<Team> team(TeamId id) {
    return Optional.ofNullable(byId.get(id));
  }

  /** Returns the team that a key belongs to. */
  public Optional<TeamId> teamOf(ApiKey key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** Returns all teams, in no particular order. */
  public Collection<Team> all() {
    return byId.values();
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Teams that
        && configured == that.configured
        && byId.equals(that.byId)
        && byKey.equals(that.byKey);
  }

  @Override
  public int hashCode() {
    return byId.hashCode();
  }

  @Override
  public String toString() {
    return configured ? byId.size() + " teams" : "no teams";
  }
}
