package org.mimosacleat.lab.measure;

import java.util.List;

/**
 * One experiment of the measure command: it drives the real decisions and their baselines on the
 * same inputs and returns what it read off. Everything random comes from the seed.
 */
public interface Experiment {
  /** Returns the name by which the experiment is chosen on the command line. */
  String name();

  /** Runs the decision and all its baselines once, with one seed. */
  List<Reading> run(Deployment deployment, long seed);
}
