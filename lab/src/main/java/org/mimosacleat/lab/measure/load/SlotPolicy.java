package org.mimosacleat.lab.measure.load;

import java.util.List;
import java.util.Optional;

/** Decides which job runs next on a group's endpoints; the first endpoint is the primary. */
interface SlotPolicy {
  /** Takes in a job; returns false if it is refused at once. */
  boolean arrive(Job job);

  /** Returns a job to run now. */
  Optional<Job> next();

  /** Takes in that a job has ended. */
  void end(Job job);

  /** Returns the waiting jobs that are refused now. */
  List<Job> tick();

  /** Returns how many jobs wait. */
  int waiting();
}
