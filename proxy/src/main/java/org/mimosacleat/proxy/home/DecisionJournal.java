package org.mimosacleat.proxy.home;

import java.time.InstantSource;
import java.util.List;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.status.DecisionLog;
import org.mimosacleat.core.status.DecisionNote;
import org.tinylog.Logger;

/** Logs the decisions of homes in words, and keeps the last ones for the status page. */
public final class DecisionJournal {
  private static final int MAXIMUM_KEPT = 100;

  private final DecisionLog kept;

  /** Takes the clock that dates the entries. */
  public DecisionJournal(InstantSource clock) {
    this.kept = new DecisionLog(clock, MAXIMUM_KEPT);
  }

  /** Adds an entry. */
  public void add(GroupId group, String explanation) {
    Logger.info("{}: {}", group, explanation);
    kept.record(group.value(), explanation);
  }

  /** Returns the last entries, newest first. */
  public List<DecisionNote> last() {
    return kept.latest();
  }
}
