package org.mimosacleat.proxy.home;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.mimosacleat.core.id.GroupId;
import org.tinylog.Logger;

/** Logs the decisions of homes in words, and keeps the last ones for the status page. */
public final class DecisionJournal {
  private static final int MAXIMUM_KEPT = 100;

  private final InstantSource clock;
  private final Deque<String> kept = new ArrayDeque<>();

  /** Takes the clock that dates the entries. */
  public DecisionJournal(InstantSource clock) {
    this.clock = clock;
  }

  /** Adds an entry. */
  public void add(GroupId group, String explanation) {
    Logger.info("{}: {}", group, explanation);
    synchronized (kept) {
      if (kept.size() == MAXIMUM_KEPT) {
        kept.removeFirst();
      }
      kept.addLast(clock.instant() + " " + group + ": " + explanation);
    }
  }

  /** Returns the last entries, oldest first. */
  public List<String> last() {
    synchronized (kept) {
      return List.copyOf(kept);
    }
  }
}
