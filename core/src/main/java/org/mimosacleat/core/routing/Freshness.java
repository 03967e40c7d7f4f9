package org.mimosacleat.core.routing;

import java.time.Duration;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.position.Position;

/** The freshness that a read requires of its data. */
public sealed interface Freshness {
  /** Only the primary may serve the read. */
  record Latest() implements Freshness {}

  /**
   * The read must see all earlier writes of its own session.
   *
   * @param required a position that includes those writes, or empty if none is known
   */
  record ReadYourWrites(Optional<Position> required) implements Freshness {
    /** Validates the components. */
    public ReadYourWrites {
      Checks.notNull("required position", required);
    }
  }

  /**
   * The read must see all earlier writes of its own session, and every write of other sessions that
   * was acknowledged at least {@code age} before the read arrived.
   *
   * @param maxStaleness the maximum staleness, not negative
   * @param required a position that includes the session's own writes, or empty if none is known
   */
  record BoundedStaleness(Duration maxStaleness, Optional<Position> required) implements Freshness {
    /** Validates the components. */
    public BoundedStaleness {
      Checks.notNegative("maximum age in ns", maxStaleness.toNanos());
      Checks.notNull("required position", required);
    }
  }
}
