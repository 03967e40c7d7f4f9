package org.mimosacleat.core.status;

import java.time.Instant;
import java.util.List;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/**
 * What one proxy says of itself; served as JSON under {@code /status} on its operations port.
 *
 * @param proxy the VM that the proxy runs on
 * @param zone where it runs
 * @param at when it answered, by its clock
 * @param startedAt when it started
 * @param lists the lists in force
 * @param groups the database groups: homes, leader and term
 * @param credits the pace of spending, for each budget that this proxy keeps
 * @param decisions the last decisions, newest first
 */
public record ProxyStatus(
    VmId proxy,
    AvailabilityZone zone,
    Instant at,
    Instant startedAt,
    List<ListStatus> lists,
    List<GroupStatus> groups,
    List<CreditStatus> credits,
    List<DecisionNote> decisions) {
  /** Checks the parts. */
  public ProxyStatus {
    Checks.notNull("proxy", proxy);
    Checks.notNull("availability zone", zone);
    Checks.notNull("time of the answer", at);
    Checks.notNull("time of the start", startedAt);
    lists = List.copyOf(lists);
    groups = List.copyOf(groups);
    credits = List.copyOf(credits);
    decisions = List.copyOf(decisions);
  }
}
