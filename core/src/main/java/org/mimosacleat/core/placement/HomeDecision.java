package org.mimosacleat.core.placement;

import org.mimosacleat.core.id.VmId;

/** The decision of a {@link HomePolicy} for one VM and one group. */
public sealed interface HomeDecision {
  /** Change nothing. */
  record NoChange() implements HomeDecision {}

  /**
   * Acquire the lease.
   *
   * @param reason the reason, for the log
   */
  record Acquire(String reason) implements HomeDecision {}

  /**
   * Hand the lease over to another VM.
   *
   * @param to the VM that should be the home
   */
  record HandOver(VmId to) implements HomeDecision {}
}
