package org.mimosacleat.lab.measure;

import java.util.List;

/**
 * An experiment of the measure command. It drives the production algorithm and its baselines with
 * the same inputs and returns the measured figures. All random numbers derive from the seed.
 */
public interface Experiment {
  /** Returns the name that selects the experiment on the command line. */
  String name();

  /** Runs the production algorithm and all baselines once. */
  List<Reading> run(Deployment deployment, long seed);
}
