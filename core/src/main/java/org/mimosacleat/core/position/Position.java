package org.mimosacleat.core.position;

import org.mimosacleat.core.check.Checks;

/**
 * A log position together with the term in which it was reached. Positions are ordered by term
 * first, because log that a replaced primary wrote past the promotion point is not part of the
 * group's history.
 *
 * @param term the term
 * @param log the position in the log
 */
public record Position(Term term, LogPosition log) implements Comparable<Position> {
  /** A position before every write. */
  public static final Position NONE = new Position(new Term(0), LogPosition.START);

  /** Checks the components. */
  public Position {
    Checks.notNull("term", term);
    Checks.notNull("log position", log);
  }

  /** Returns the later of two positions. */
  public static Position latest(Position first, Position second) {
    return first.compareTo(second) >= 0 ? first : second;
  }

  /** Returns whether this position is equal to or later than {@code other}. */
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
