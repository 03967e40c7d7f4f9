package org.mimosacleat.lab.measure;

import java.util.List;
import org.mimosacleat.lab.measure.load.ConnectionsExperiment;
import org.mimosacleat.lab.measure.load.CrestExperiment;
import org.mimosacleat.lab.measure.load.RoamingExperiment;
import org.mimosacleat.lab.measure.load.ShortBeforeLongExperiment;

/** All experiments of the measure command. */
public final class Experiments {
  private Experiments() {}

  /** Returns them in the order in which they are printed. */
  public static List<Experiment> all() {
    return List.of(
        new ShortBeforeLongExperiment(),
        new CrestExperiment(),
        new RoamingExperiment(),
        new ConnectionsExperiment());
  }
}
