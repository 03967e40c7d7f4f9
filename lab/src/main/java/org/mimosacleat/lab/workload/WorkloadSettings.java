package org.mimosacleat.lab.workload;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.mimosacleat.core.check.Checks;

/**
 * The requests, targets and size of a workload.
 *
 * @param scenario the mix of requests
 * @param proxies the proxies that sessions switch between; reads across proxies need two or more
 * @param databases the databases; each session uses one of them
 * @param user the user name
 * @param password the password; empty if the proxies require none
 * @param sessions the number of concurrent sessions
 * @param duration how long sessions start new requests
 * @param pause the mean pause between two requests of a session
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
  /** Checks the values and copies the lists. */
  public WorkloadSettings {
    proxies = List.copyOf(proxies);
    databases = List.copyOf(databases);
    Checks.positive("proxies of the workload", proxies.size());
    Checks.positive("databases of the workload", databases.size());
    Checks.positive("sessions of the workload", sessions);
    Checks.notNegative("pause in milliseconds", pause.toMillis());
  }

  /** Returns a description without the password. */
  @Override
  public String toString() {
    return scenario.name() + " on " + databases + " through " + proxies;
  }
}
