package org.mimosacleat.wire.peer;

import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;

/** One message between two proxies. */
@SuppressWarnings("ArrayRecordComponent")
public sealed interface PeerMessage {
  /**
   * The first message of either side.
   *
   * @param sender who speaks
   * @param nonce random bytes, fresh for this connection
   */
  record Hello(VmId sender, byte[] nonce) implements PeerMessage {}

  /**
   * The second message of either side.
   *
   * @param code the keyed hash over both hellos, see {@link PeerAuthenticator}
   */
  record Proof(byte[] code) implements PeerMessage {}

  /**
   * Asks the home of a group to run a batch.
   *
   * @param correlation chosen by the sender, unique on this connection
   * @param request the batch
   */
  record Work(long correlation, WorkRequest request) implements PeerMessage {}

  /** Answers {@link Work} of the same correlation with the whole answer of the endpoint. */
  record Answered(long correlation, WorkAnswer answer) implements PeerMessage {}

  /** Answers {@link Work} of the same correlation with a failure. */
  record Failed(long correlation, Failure failure) implements PeerMessage {}

  /** Asks to cancel the running {@link Work} of the same correlation; has no answer. */
  record Cancel(long correlation) implements PeerMessage {}

  /**
   * Asks to roll back an open transaction whose caller has left; has no answer.
   *
   * @param group the group that the transaction is in
   * @param transaction the number that the home gave to the transaction, unique within the group
   */
  record Abandon(GroupId group, long transaction) implements PeerMessage {}

  /**
   * Carries a message of one of the fleet's protocols; has no answer on this level.
   *
   * @param channel which protocol
   * @param body its own encoding
   */
  record Fleet(int channel, byte[] body) implements PeerMessage {}
}
