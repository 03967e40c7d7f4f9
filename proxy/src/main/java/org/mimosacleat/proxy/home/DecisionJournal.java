package org.mimosacleat.proxy.home;

import java.time.InstantSource;
import java.util.List;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.status.DecisionLog;
import org.mimosacleat.core.status.DecisionNote;
import org.tinylog.Logger;

/** Logs the decisions of homes in words, and keeps the last ones for the status page. */
public final class DecisionJournal {
  private static final int MAX_ENTRIES = 100;

  private final DecisionLog entries;

  /** Takes the clock that dates the entries. */
  public DecisionJournal(InstantSource clock) {
    this.entries = new DecisionLog(clock, MAX_ENTRIES);
  }

  /** Adds an entry. */
  public void add(GroupId group, String explanation) {
    Logger.info("{}: {}", group, explanation);
    entries.record(group.value(), explanation);
  }

  /** Returns the last entries, newest first. */
  public List<DecisionNote> last() {
    return entries.latest();
  }
}
