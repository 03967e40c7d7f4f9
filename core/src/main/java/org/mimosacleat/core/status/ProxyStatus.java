package org.mimosacleat.core.status;

import java.time.Instant;
import java.util.List;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.AvailabilityZone;
import org.mimosacleat.core.id.VmId;

/**
 * The status of a proxy, served as JSON under {@code /status} on its operations port.
 *
 * @param proxy the VM that the proxy runs on
 * @param zone the availability zone of the VM
 * @param at when the status was taken, by the clock of the proxy
 * @param startedAt when the proxy started
 * @param lists the list versions in use
 * @param groups the database groups with their homes, primary and term
 * @param credits the spending rate of each credit budget that this proxy manages
 * @param decisions the most recent decisions, newest first
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
  /** Validates the components. */
  public ProxyStatus {
    Checks.notNull("proxy", proxy);
    Checks.notNull("availability zone", zone);
    Checks.notNull("status time", at);
    Checks.notNull("start time", startedAt);
    lists = List.copyOf(lists);
    groups = List.copyOf(groups);
    credits = List.copyOf(credits);
    decisions = List.copyOf(decisions);
  }
}
