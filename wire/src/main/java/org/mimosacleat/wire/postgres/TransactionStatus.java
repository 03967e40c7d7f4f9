package org.mimosacleat.wire.postgres;

/** The transaction status that a ready-for-query frame reports. */
public enum TransactionStatus {
  /** Not in a transaction. */
  IDLE('I'),
  /** In a transaction. */
  OPEN('T'),
  /** In a transaction that has failed and can only be rolled back. */
  FAILED('E');

  private final byte code;

  TransactionStatus(char code) {
    this.code = (byte) code;
  }

  /** Returns the status of a ready-for-query frame. */
  public static TransactionStatus of(Frame readyForQuery) throws FrameException {
    byte[] body = readyForQuery.body();
    if (!readyForQuery.hasType(BackendType.READY_FOR_QUERY) || body.length != 1) {
      throw new FrameException("ready-for-query: expected one byte of transaction status");
    }
    for (TransactionStatus status : values()) {
      if (status.code == body[0]) {
        return status;
      }
    }
    throw new FrameException("ready-for-query: unknown transaction status " + (char) body[0]);
  }

  /** Returns the byte on the wire. */
  public byte code() {
    return code;
  }
}
