package org.mimosacleat.lab.measure.load;

/** What takes in the statements of the crest experiment. */
interface CrestSystem {
  /** Takes in a job; it will be answered, refused or left without an answer. */
  void arrive(Job job);
}
