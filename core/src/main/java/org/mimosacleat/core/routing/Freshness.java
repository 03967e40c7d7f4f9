package org.mimosacleat.core.routing;

import java.time.Duration;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.position.Position;

/** How fresh the data has to be that a read sees. */
public sealed interface Freshness {
  /** Only the primary will do. */
  record Latest() implements Freshness {}

  /**
   * The read has to see the own writes of its session.
   *
   * @param required a position that includes them, or empty if none is known
   */
  record OwnWrites(Optional<Position> required) implements Freshness {
    /** Validates the components. */
    public OwnWrites {
      Checks.notNull("required position", required);
    }
  }

  /**
   * The read has to see the own writes of its session, and every write of others that was
   * acknowledged at least {@code age} before the read arrived.
   *
   * @param age the accepted age, not negative
   * @param required a position that includes the own writes, or empty if none is known
   */
  record MaximumAge(Duration age, Optional<Position> required) implements Freshness {
    /** Validates the components. */
    public MaximumAge {
      Checks.notNegative("maximum age in ns", age.toNanos());
      Checks.notNull("required position", required);
    }
  }
}
