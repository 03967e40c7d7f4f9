package org.mimosacleat.lab.measure.load;

/** The system under test of the peak load experiment. */
interface PeakLoadSystem {
  /** Submits a job, which will be answered, refused or left without an answer. */
  void submit(Job job);
}
