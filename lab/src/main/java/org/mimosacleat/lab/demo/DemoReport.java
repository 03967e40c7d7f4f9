package org.mimosacleat.lab.demo;

import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.lab.workload.WorkloadReport;

/**
 * What a demonstration found.
 *
 * @param name the deployment
 * @param killedPrimary the primary that was killed on the way
 * @param workload what became of the requests
 */
public record DemoReport(String name, EndpointId killedPrimary, WorkloadReport workload) {
  /** Tells whether no promise was broken and requests were served. */
  public boolean isClean() {
    return workload.violations().isEmpty() && workload.served() > 0;
  }
}
