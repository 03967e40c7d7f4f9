package org.mimosacleat.wire.postgres;

/** The types of frames that a client sends. */
public final class FrontendType {
  /** Simple query. */
  public static final byte QUERY = 'Q';

  /** Prepares a statement. */
  public static final byte PARSE = 'P';

  /** Binds parameters to a portal. */
  public static final byte BIND = 'B';

  /** Asks for the shape of a statement or portal. */
  public static final byte DESCRIBE = 'D';

  /** Runs a portal. */
  public static final byte EXECUTE = 'E';

  /** Closes a statement or portal. */
  public static final byte CLOSE = 'C';

  /** Ends a batch of the extended protocol. */
  public static final byte SYNC = 'S';

  /** Asks for answers without ending the batch. */
  public static final byte FLUSH = 'H';

  /** Ends the connection. */
  public static final byte TERMINATE = 'X';

  /** Carries a password or a SASL message. */
  public static final byte PASSWORD = 'p';

  /** Carries copied rows. */
  public static final byte COPY_DATA = 'd';

  /** Ends copied rows. */
  public static final byte COPY_DONE = 'c';

  /** Breaks off copied rows. */
  public static final byte COPY_FAIL = 'f';

  /** Calls a function in the outdated way. */
  public static final byte FUNCTION_CALL = 'F';

  private FrontendType() {}
}
