package org.mimosacleat.core.admission;

import java.time.Duration;

/**
 * The times that a limit coordinator and the holders of its grants agree on. They hold as long as
 * clocks run at the same speed; clocks are never compared.
 */
public final class GrantTimes {
  /**
   * How long a grant is valid: the holder counts from the sending of its report, the coordinator
   * from its answer, which is later.
   */
  public static final Duration LIFETIME = Duration.ofSeconds(2);

  /**
   * How long after the receipt of its latest grant a holder does not use its floor. When a home
   * falls silent, the coordinator has granted its floor to others for at most two lifetimes after
   * the latest grant that the home is known to have received.
   */
  public static final Duration FLOOR_DELAY = LIFETIME.multipliedBy(2);

  /** How long the coordinator may rely on a read of its own row, from the sending of the read. */
  public static final Duration FRESHNESS = Duration.ofSeconds(2);

  private static final Duration MARGIN = Duration.ofMillis(500);

  /**
   * How long a new coordinator waits: the freshness and the grants of its predecessor, and 0.5 s.
   */
  public static final Duration TAKEOVER_WAIT = FRESHNESS.plus(LIFETIME).plus(MARGIN);

  /** How long a restarted coordinator waits for its own earlier grants. */
  public static final Duration RESTART_WAIT = LIFETIME.plus(MARGIN);

  private GrantTimes() {}
}
