package org.mimosacleat.lab.measure.load;

import java.util.List;
import java.util.Optional;

/** Decides which job runs next on the endpoints of a group. The first endpoint is the primary. */
interface SlotPolicy {
  /** Submits a job; returns false if it is refused immediately. */
  boolean submit(Job job);

  /** Returns a job that starts now, or empty if none can start. */
  Optional<Job> next();

  /** Records that a job has completed. */
  void complete(Job job);

  /** Removes and returns the waiting jobs that are refused now. */
  List<Job> tick();

  /** Returns the number of waiting jobs. */
  int waiting();
}
