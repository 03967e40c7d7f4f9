package org.mimosacleat.core.position;

import org.mimosacleat.core.check.Checks;

/**
 * Numbers the reign of one primary of a group; a promotion starts the next term. PostgreSQL calls
 * it the timeline.
 *
 * @param number zero or more; a higher number is a later term
 */
public record Term(long number) implements Comparable<Term> {
  /** The term of a group that has had no promotion. */
  public static final Term FIRST = new Term(1);

  /** Checks the number. */
  public Term {
    Checks.notNegative("term", number);
  }

  /** Returns the term that a promotion out of this one starts. */
  public Term next() {
    return new Term(number + 1);
  }

  /** Tells whether this term is later than {@code other}. */
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
