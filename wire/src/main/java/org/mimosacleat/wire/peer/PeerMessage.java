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
   * @param sender the VM of the sending proxy
   * @param nonce random bytes that are generated for each connection
   */
  record Hello(VmId sender, byte[] nonce) implements PeerMessage {}

  /**
   * The second message of either side.
   *
   * @param code the HMAC over both hellos, see {@link PeerAuthenticator}
   */
  record Proof(byte[] code) implements PeerMessage {}

  /**
   * Requests that the home of a group run a batch.
   *
   * @param correlationId an identifier chosen by the sender, unique on this connection
   * @param request the batch
   */
  record ExecuteBatch(long correlationId, BatchRequest request) implements PeerMessage {}

  /**
   * Answers the {@link ExecuteBatch} of the same correlation with the endpoint's complete response.
   */
  record BatchCompleted(long correlationId, BatchAnswer answer) implements PeerMessage {}

  /** Answers the {@link ExecuteBatch} of the same correlation with a failure. */
  record BatchFailed(long correlationId, Failure failure) implements PeerMessage {}

  /**
   * Requests that the running {@link ExecuteBatch} of the same correlation be cancelled; not
   * answered.
   */
  record CancelBatch(long correlationId) implements PeerMessage {}

  /**
   * Requests the rollback of an open transaction whose client has disconnected; not answered.
   *
   * @param group the group of the transaction
   * @param transaction the number that the home assigned, unique within the group
   */
  record RollBackTransaction(GroupId group, long transaction) implements PeerMessage {}

  /**
   * Carries a message of one of the fleet protocols. Answers, if any, belong to that protocol.
   *
   * @param channel the number of the protocol
   * @param payload the message in the encoding of that protocol
   */
  record FleetPayload(int channel, byte[] payload) implements PeerMessage {}
}
