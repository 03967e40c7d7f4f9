package org.mimosacleat.lab.workload;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.mimosacleat.core.check.Checks;

/**
 * What one workload does, and where.
 *
 * @param scenario the requests
 * @param proxies the addresses that sessions roam over, two or more to check reads across proxies
 * @param databases the databases; each session stays with one
 * @param user the user
 * @param password the password; empty where none is asked for
 * @param sessions sessions at once
 * @param duration how long requests are started
 * @param pause the mean time between two requests of a session
 */
public record WorkloadSettings(
    Scenario scenario,
    List<InetSocketAddress> proxies,
    List<String> databases,
    String user,
    String password,
    int sessions,
    Duration duration,
    Duration pause) {
  /** Checks the numbers. */
  public WorkloadSettings {
    proxies = List.copyOf(proxies);
    databases = List.copyOf(databases);
    Checks.positive("proxies of the workload", proxies.size());
    Checks.positive("databases of the workload", databases.size());
    Checks.positive("sessions of the workload", sessions);
    Checks.notNegative("pause in milliseconds", pause.toMillis());
  }

  /** Shows no password. */
  @Override
  public String toString() {
    return scenario.name() + " on " + databases + " through " + proxies;
  }
}
