package org.mimosacleat.core.membership;

import java.util.List;

/** An input of a {@link MembershipStateMachine}. */
public sealed interface MembershipInput {
  /** Time has passed; expected about every 100 ms. */
  record Tick() implements MembershipInput {}

  /**
   * A message arrived.
   *
   * @param message the message
   */
  record Received(MembershipMessage message) implements MembershipInput {}

  /**
   * The platform's list was read.
   *
   * @param vms all VMs in the list
   */
  record VmListRead(List<ListedVm> vms) implements MembershipInput {}

  /** This VM is about to stop. */
  record Leave() implements MembershipInput {}
}
