package org.mimosacleat.serving.endpoint;

import java.time.Instant;
import java.util.Comparator;
import org.mimosacleat.serving.fleet.Route;

/**
 * Which of several waiting statements goes first: one that can still meet its objective before one
 * that can't, then by the route's priority, then the one that has to be answered first.
 *
 * @param priority zero is the highest
 * @param answerBy when the objective is missed
 */
public record Urgency(int priority, Instant answerBy) {
  private static final Comparator<Urgency> BY_PRIORITY_AND_TIME =
      Comparator.comparingInt(Urgency::priority).thenComparing(Urgency::answerBy);

  /** Returns the urgency of a statement that arrived at a moment. */
  public static Urgency of(Route route, Instant arrivedAt) {
    return new Urgency(route.priority(), arrivedAt.plus(route.objective()));
  }

  /** Tells whether this goes before another one now. */
  boolean isBefore(Urgency other, Instant now) {
    boolean late = !answerBy.isAfter(now);
    boolean otherLate = !other.answerBy.isAfter(now);
    return late == otherLate ? BY_PRIORITY_AND_TIME.compare(this, other) < 0 : otherLate;
  }
}
