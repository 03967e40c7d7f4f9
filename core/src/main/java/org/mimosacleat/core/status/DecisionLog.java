package org.mimosacleat.core.status;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.mimosacleat.core.check.Checks;

/**
 * Keeps the most recent decisions for the status page. Intended for decisions on roles, lists,
 * limits and drains; must not be used on the request path.
 */
public final class DecisionLog {
  private final InstantSource clock;
  private final int capacity;
  private final Deque<DecisionNote> notes = new ArrayDeque<>();

  /** Creates a log that keeps the last {@code capacity} decisions. */
  public DecisionLog(InstantSource clock, int capacity) {
    this.clock = clock;
    this.capacity = (int) Checks.positive("capacity", capacity);
  }

  /** Records a decision with the current time. */
  public synchronized void record(String subject, String explanation) {
    if (notes.size() == capacity) {
      notes.removeLast();
    }
    notes.addFirst(new DecisionNote(clock.instant(), subject, explanation));
  }

  /** Returns the decisions, newest first. */
  public synchronized List<DecisionNote> latest() {
    return new ArrayList<>(notes);
  }
}
