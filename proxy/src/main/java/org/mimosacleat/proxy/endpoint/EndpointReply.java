package org.mimosacleat.proxy.endpoint;

import org.mimosacleat.wire.postgres.TransactionStatus;

/**
 * The complete reply of an endpoint to one batch.
 *
 * @param frames the frames as received, up to and including ready-for-query
 * @param status the transaction status after the batch
 * @param sqlState the SQLSTATE of the first error; empty if there was none
 */
@SuppressWarnings("ArrayRecordComponent")
public record EndpointReply(byte[] frames, TransactionStatus status, String sqlState) {
  /** Returns whether the reply contains an error. */
  public boolean hasError() {
    return !sqlState.isEmpty();
  }
}
