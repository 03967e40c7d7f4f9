package org.mimosacleat.core.position;

import org.mimosacleat.core.check.Checks;

/**
 * The number of the period in which one endpoint is the primary of a group. Each promotion starts a
 * later term. PostgreSQL calls it the timeline.
 *
 * @param number zero or more; a higher number is a later term
 */
public record Term(long number) implements Comparable<Term> {
  /** The term of a group before its first promotion. */
  public static final Term FIRST = new Term(1);

  /** Checks that the number is not negative. */
  public Term {
    Checks.notNegative("term", number);
  }

  /** Returns the term that follows this one. */
  public Term next() {
    return new Term(number + 1);
  }

  /** Returns whether this term is later than {@code other}. */
  public boolean isAfter(Term other) {
    return number > other.number;
  }

  @Override
  public int compareTo(Term other) {
    return Long.compare(number, other.number);
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}
