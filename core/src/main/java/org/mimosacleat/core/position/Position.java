package org.mimosacleat.core.position;

import org.mimosacleat.core.check.Checks;

/**
 * A log position together with the term that it was reached in. Positions are ordered by term
 * first: log written in a replaced term past the promotion is not part of the group's history.
 *
 * @param term the term
 * @param log the position in the log
 */
public record Position(Term term, LogPosition log) implements Comparable<Position> {
  /** Before everything that was ever written. */
  public static final Position NONE = new Position(new Term(0), LogPosition.START);

  /** Checks the parts. */
  public Position {
    Checks.notNull("term", term);
    Checks.notNull("log position", log);
  }

  /** Returns the later of two positions. */
  public static Position latest(Position first, Position second) {
    return first.compareTo(second) >= 0 ? first : second;
  }

  /** Tells whether this position is {@code other} or later. */
  public boolean includes(Position other) {
    return compareTo(other) >= 0;
  }

  @Override
  public int compareTo(Position other) {
    int byTerm = term.compareTo(other.term);
    return byTerm != 0 ? byTerm : log.compareTo(other.log);
  }

  @Override
  public String toString() {
    return term + ":" + log;
  }
}
