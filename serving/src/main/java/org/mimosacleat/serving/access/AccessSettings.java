package org.mimosacleat.serving.access;

import java.time.Duration;
import org.mimosacleat.core.check.Checks;

/**
 * How strictly the revocation of API keys is enforced.
 *
 * @param failClosed whether keys are refused while the configuration may be too old
 * @param revocationBound time after which a revoked key must not be admitted anywhere
 */
public record AccessSettings(boolean failClosed, Duration revocationBound) {
  /** The bound where the settings contain none. */
  public static final Duration DEFAULT_REVOCATION_BOUND = Duration.ofSeconds(5);

  /** Covers the time from the decision until the statement runs, and the drift of clocks. */
  private static final Duration MARGIN = Duration.ofMillis(800);

  /** Checks that the bound leaves time to admit a key, where that matters. */
  public AccessSettings {
    Checks.notNull("revocation bound", revocationBound);
    if (failClosed) {
      Checks.atLeast(
          "revocation bound in milliseconds", revocationBound.toMillis(), MARGIN.toMillis() + 1);
    }
  }

  /** Returns the settings of a proxy that admits keys whatever the age of its configuration. */
  public static AccessSettings failOpen() {
    return new AccessSettings(false, DEFAULT_REVOCATION_BOUND);
  }

  /** Returns the age from which on a configuration no longer admits keys. */
  public Duration maxAge() {
    return revocationBound.minus(MARGIN);
  }
}
