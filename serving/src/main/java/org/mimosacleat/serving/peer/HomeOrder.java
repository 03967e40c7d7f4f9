package org.mimosacleat.serving.peer;

import java.util.List;
import java.util.function.Predicate;
import org.mimosacleat.core.id.VmId;

/**
 * Where the statements of one team run, seen from one proxy. A candidate is tried only if all
 * before it are skipped, so that the connections of a team stay at few proxies.
 *
 * @param candidates the gateways that may run the statements before this proxy does, best first
 * @param tried those of them that are tried now
 * @param runsHere whether this proxy is a gateway and all candidates are skipped
 * @param runsRejected whether this proxy is a gateway and runs what the tried ones reject
 */
record HomeOrder(List<VmId> candidates, List<VmId> tried, boolean runsHere, boolean runsRejected) {
  /** More would be reached only if as many proxies fail at once. */
  static final int MAX_CANDIDATES = 4;

  /**
   * Determines the order.
   *
   * @param homes the gateways of the group in the order in which they serve the team
   * @param skipped whether a proxy is leaving or has been unreachable for some time
   */
  static HomeOrder of(List<VmId> homes, VmId self, Predicate<VmId> skipped) {
    int own = homes.indexOf(self);
    int before = own < 0 ? homes.size() : own;
    List<VmId> candidates = homes.subList(0, Math.min(before, MAX_CANDIDATES));
    int tried = 0;
    while (tried < candidates.size() && skipped.test(candidates.get(tried))) {
      tried++;
    }
    int end = Math.min(tried + 1, candidates.size());
    boolean isGateway = own >= 0;
    boolean allSkipped = tried == candidates.size();
    return new HomeOrder(
        candidates, candidates.subList(0, end), isGateway && allSkipped, isGateway);
  }
}
