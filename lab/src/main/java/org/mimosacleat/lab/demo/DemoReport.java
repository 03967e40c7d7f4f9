package org.mimosacleat.lab.demo;

import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.lab.workload.WorkloadReport;

/**
 * The results of a demonstration.
 *
 * @param name the name of the deployment
 * @param killedPrimary the id of the primary that was killed during the run
 * @param workload the results of the requests
 */
public record DemoReport(String name, EndpointId killedPrimary, WorkloadReport workload) {
  /** Returns whether requests were served and no guarantee was violated. */
  public boolean isClean() {
    return workload.violations().isEmpty() && workload.served() > 0;
  }
}
