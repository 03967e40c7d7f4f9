package org.mimosacleat.serving.endpoint;

import java.time.Instant;
import java.util.Comparator;
import org.mimosacleat.serving.fleet.Route;

/**
 * The order of waiting statements: those that can still meet their latency objective before those
 * that can't, then by the route's priority, then by the time of the objective.
 *
 * @param priority the priority of the route; zero is the highest
 * @param answerBy the time after which the objective is missed
 */
public record Urgency(int priority, Instant answerBy) {
  /** For what no client waits for. */
  static final Urgency NONE = new Urgency(Integer.MAX_VALUE, Instant.MAX);

  private static final Comparator<Urgency> BY_PRIORITY_AND_TIME =
      Comparator.comparingInt(Urgency::priority).thenComparing(Urgency::answerBy);

  /** Returns the urgency of a statement on a route that arrived at this time. */
  public static Urgency of(Route route, Instant arrivedAt) {
    return new Urgency(route.priority(), arrivedAt.plus(route.latencyObjective()));
  }

  /** Returns whether this is served before another one now. */
  boolean isBefore(Urgency other, Instant now) {
    boolean late = !answerBy.isAfter(now);
    boolean otherLate = !other.answerBy.isAfter(now);
    return late == otherLate ? BY_PRIORITY_AND_TIME.compare(this, other) < 0 : otherLate;
  }
}
