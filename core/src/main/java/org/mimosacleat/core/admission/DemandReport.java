package org.mimosacleat.core.admission;

import java.util.List;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.VmId;

/**
 * The report of one proxy to the limit coordinator.
 *
 * @param holder the proxy
 * @param sequence the number of the report, increasing with each report of the holder
 * @param echo the {@link ShareGrants#answer} of the latest answer of this coordinator that the
 *     holder has applied, or {@link #NO_ECHO}
 * @param demands the demand by team, for each limited team that the proxy serves or may serve
 */
public record DemandReport(VmId holder, long sequence, long echo, List<TeamDemand> demands) {
  /** The echo while the coordinator has not answered yet. */
  public static final long NO_ECHO = -1;

  /** Checks the values. */
  public DemandReport {
    Checks.notNull("holder", holder);
    demands = List.copyOf(demands);
  }
}
