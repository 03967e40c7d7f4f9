package org.mimosacleat.core.membership;

import java.util.List;

/** What a {@link MembershipMachine} is told. */
public sealed interface MembershipInput {
  /** Time has passed; to be given about every 100 ms. */
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
   * @param vms all VMs of the list
   */
  record Listed(List<ListedVm> vms) implements MembershipInput {}

  /** This VM is about to stop. */
  record Leave() implements MembershipInput {}
}
