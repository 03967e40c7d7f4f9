package org.mimosacleat.serving.feed;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.serving.version.StoreVersion;

/**
 * What a proxy can prove about its configuration.
 *
 * @param age how long ago the configuration was known to be current
 * @param version the version of the operator's table that the proxy has applied
 */
public record StoreContact(Duration age, StoreVersion version) {
  /** Checks the components. */
  public StoreContact {
    Checks.notNull("age", age);
    Checks.notNull("version", version);
  }
}
