package org.mimosacleat.serving.access;

import java.time.Duration;
import java.util.Optional;
import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.serving.fleet.ApiKey;
import org.mimosacleat.serving.fleet.Configuration;
import org.mimosacleat.serving.fleet.Route;

/** Decides which callers may use a route. Safe for concurrent use. */
public final class AccessControl {
  private final AccessSettings settings;
  private final ConfigurationAge age;

  /** Creates an access control for the configuration whose age is given. */
  public AccessControl(AccessSettings settings, ConfigurationAge age) {
    this.settings = settings;
    this.age = age;
  }

  /**
   * Returns the age of the configuration. It must be read before the configuration that is decided
   * by: if the VM is suspended in between, a new age does not vouch for an old configuration.
   */
  public Duration configurationAge() {
    return age.current();
  }

  /**
   * Decides for a caller of this proxy.
   *
   * @param key the caller's key, if it sent one
   * @param route the route by the configuration
   * @param configuration the configuration, read after its age
   * @param configurationAge the age from {@link #configurationAge()}
   */
  public AccessDecision decide(
      Optional<ApiKey> key, Route route, Configuration configuration, Duration configurationAge) {
    boolean needsKey = configuration.teams().areConfigured() && !route.openToAll();
    return needsKey && isTooOld(configurationAge)
        ? new AccessDecision.ConfigurationTooOld()
        : decideByKey(key, route, configuration);
  }

  /**
   * Decides for a caller that another proxy has admitted by an older configuration. The age does
   * not matter: that proxy has checked it.
   */
  public AccessDecision recheck(Optional<ApiKey> key, Route route, Configuration configuration) {
    return decideByKey(key, route, configuration);
  }

  private boolean isTooOld(Duration configurationAge) {
    return settings.failClosed() && configurationAge.compareTo(settings.maxAge()) >= 0;
  }

  private static AccessDecision decideByKey(
      Optional<ApiKey> key, Route route, Configuration configuration) {
    if (!configuration.teams().areConfigured()) {
      return new AccessDecision.Allowed(Optional.empty());
    }
    Optional<TeamId> team = key.flatMap(configuration.teams()::teamOf);
    return team.isPresent() || route.openToAll()
        ? new AccessDecision.Allowed(team)
        : new AccessDecision.UnknownKey();
  }
}
