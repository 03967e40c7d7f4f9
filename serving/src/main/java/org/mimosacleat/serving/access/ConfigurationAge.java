package org.mimosacleat.serving.access;

import java.time.Duration;

/** Tells how old the configuration of this proxy may be. */
public interface ConfigurationAge {
  /**
   * Returns the time since the applied configuration was last known for certain to be current; not
   * negative.
   */
  Duration current();
}
