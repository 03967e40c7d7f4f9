package org.mimosacleat.lab.measure;

import java.util.List;
import org.mimosacleat.lab.measure.consistency.ReplicaReadsExperiment;
import org.mimosacleat.lab.measure.credit.CreditExperiment;
import org.mimosacleat.lab.measure.failover.FailoverExperiment;
import org.mimosacleat.lab.measure.fleet.HomeLossExperiment;
import org.mimosacleat.lab.measure.fleet.ListDisseminationExperiment;
import org.mimosacleat.lab.measure.fleet.PlacementExperiment;
import org.mimosacleat.lab.measure.fleet.StoreReturnExperiment;
import org.mimosacleat.lab.measure.lists.ListRaceExperiment;
import org.mimosacleat.lab.measure.load.ConnectionsExperiment;
import org.mimosacleat.lab.measure.load.PeakLoadExperiment;
import org.mimosacleat.lab.measure.load.RoamingExperiment;
import org.mimosacleat.lab.measure.load.ShortBeforeLongExperiment;

/** The experiments of the measure command. */
public final class Experiments {
  private Experiments() {}

  /**
   * Returns all experiments in the order in which they are printed. The four that measure what
   * users notice come first.
   */
  public static List<Experiment> all() {
    return List.of(
        new ReplicaReadsExperiment(),
        new FailoverExperiment(),
        new PeakLoadExperiment(),
        new ShortBeforeLongExperiment(),
        new RoamingExperiment(),
        new ConnectionsExperiment(),
        new CreditExperiment(),
        new PlacementExperiment(),
        new HomeLossExperiment(),
        new ListRaceExperiment(),
        new ListDisseminationExperiment(),
        new StoreReturnExperiment());
  }
}
