package org.mimosacleat.proxy.home;

import java.time.InstantSource;
import java.util.List;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.status.DecisionLog;
import org.mimosacleat.core.status.DecisionNote;
import org.tinylog.Logger;

/** Logs explanations of the decisions of homes, and keeps the latest ones for the status page. */
public final class DecisionJournal {
  private static final int MAX_ENTRIES = 100;

  private final DecisionLog entries;

  /** Creates an empty journal whose entries are timestamped by {@code clock}. */
  public DecisionJournal(InstantSource clock) {
    this.entries = new DecisionLog(clock, MAX_ENTRIES);
  }

  /** Adds an entry. */
  public void add(GroupId group, String explanation) {
    Logger.info("{}: {}", group, explanation);
    entries.record(group.value(), explanation);
  }

  /** Returns the latest entries, newest first. */
  public List<DecisionNote> latest() {
    return entries.latest();
  }
}
