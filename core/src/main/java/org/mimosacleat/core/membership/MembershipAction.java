package org.mimosacleat.core.membership;

import java.util.List;
import org.mimosacleat.core.id.VmId;

/** An action that a {@link MembershipStateMachine} requests. */
public sealed interface MembershipAction {
  /**
   * Send a message without a delivery guarantee.
   *
   * @param to the receiver
   * @param address the receiver's address
   * @param message the message
   */
  record Send(VmId to, String address, MembershipMessage message) implements MembershipAction {}

  /**
   * Publish a new view.
   *
   * @param view the view
   * @param explanations what changed and why, one line each, for the log
   */
  record ViewChanged(MembershipView view, List<String> explanations) implements MembershipAction {}
}
