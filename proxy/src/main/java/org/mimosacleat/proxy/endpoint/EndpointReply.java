package org.mimosacleat.proxy.endpoint;

import org.mimosacleat.wire.postgres.TransactionStatus;

/**
 * The whole answer of an endpoint to one batch.
 *
 * @param frames the frames as they came, ended by ready-for-query
 * @param status the transaction status after the batch
 * @param errorState the SQLSTATE of the first error, or empty if there was none
 */
@SuppressWarnings("ArrayRecordComponent")
public record EndpointReply(byte[] frames, TransactionStatus status, String errorState) {
  /** Tells whether the batch met an error. */
  public boolean hasError() {
    return !errorState.isEmpty();
  }
}
