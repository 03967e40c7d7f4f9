package org.mimosacleat.core.placement;

import org.mimosacleat.core.id.VmId;

/** What a VM should do about being the home of a group. */
public sealed interface HomeIntent {
  /** Leave things as they are. */
  record Stay() implements HomeIntent {}

  /**
   * Acquire the lease.
   *
   * @param reason why, for the log
   */
  record Acquire(String reason) implements HomeIntent {}

  /**
   * Hand the lease over.
   *
   * @param to the VM that should be the home
   */
  record HandOver(VmId to) implements HomeIntent {}
}
