package org.mimosacleat.serving.limits;

import java.util.Optional;
import org.mimosacleat.core.admission.ShareGrants;
import org.mimosacleat.core.id.VmId;

/** The answer of a proxy to a report of demand. */
public sealed interface LimitAnswer {
  /**
   * The proxy is the limit coordinator and grants shares.
   *
   * @param grants the shares
   */
  record Granted(ShareGrants grants) implements LimitAnswer {}

  /**
   * The proxy grants nothing.
   *
   * @param coordinator the proxy that is the coordinator as far as the sender knows; the sender
   *     itself if it is the coordinator but may not grant yet
   */
  record NotGranted(Optional<VmId> coordinator) implements LimitAnswer {}
}
