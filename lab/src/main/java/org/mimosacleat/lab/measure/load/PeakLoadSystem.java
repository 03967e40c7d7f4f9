package org.mimosacleat.lab.measure.load;

/** What takes in the statements of the peak experiment. */
interface PeakLoadSystem {
  /** Takes in a job; it will be answered, refused or left without an answer. */
  void arrive(Job job);
}
