package org.mimosacleat.wire.postgres;

/** The frame types that a client sends. */
public final class FrontendType {
  /** Runs a simple query. */
  public static final byte QUERY = 'Q';

  /** Prepares a statement. */
  public static final byte PARSE = 'P';

  /** Binds parameters to a prepared statement and creates a portal. */
  public static final byte BIND = 'B';

  /** Requests the description of a statement or portal. */
  public static final byte DESCRIBE = 'D';

  /** Runs a portal. */
  public static final byte EXECUTE = 'E';

  /** Closes a statement or portal. */
  public static final byte CLOSE = 'C';

  /** Ends a batch of the extended protocol. */
  public static final byte SYNC = 'S';

  /** Requests the pending answers without ending the batch. */
  public static final byte FLUSH = 'H';

  /** Ends the connection. */
  public static final byte TERMINATE = 'X';

  /** Carries a password or a SASL message. */
  public static final byte PASSWORD = 'p';

  /** Carries COPY data. */
  public static final byte COPY_DATA = 'd';

  /** Ends COPY data. */
  public static final byte COPY_DONE = 'c';

  /** Aborts a COPY. */
  public static final byte COPY_FAIL = 'f';

  /** Calls a function through the legacy sub-protocol. */
  public static final byte FUNCTION_CALL = 'F';

  private FrontendType() {}
}
