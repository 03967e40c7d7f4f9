package org.mimosacleat.serving.limits;

import java.time.Duration;
import java.util.Optional;
import org.mimosacleat.core.admission.DemandReport;
import org.mimosacleat.core.id.VmId;

/** Sends reports of demand to other proxies. */
@FunctionalInterface
public interface LimitPeers {
  /** Sends a report and waits for the answer; empty if none arrives in time. */
  Optional<LimitAnswer> report(VmId to, DemandReport report, Duration timeout);
}
