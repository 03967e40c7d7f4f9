package org.mimosacleat.wire.postgres;

/** The frame types that a server sends. */
public final class BackendType {
  /** Requests authentication or reports its success. */
  public static final byte AUTHENTICATION = 'R';

  /** Carries the key for cancel requests. */
  public static final byte BACKEND_KEY_DATA = 'K';

  /** Reports the value of a session setting. */
  public static final byte PARAMETER_STATUS = 'S';

  /** Ends a batch and reports the transaction status. */
  public static final byte READY_FOR_QUERY = 'Z';

  /** Describes the columns of the rows that follow. */
  public static final byte ROW_DESCRIPTION = 'T';

  /** Carries one row. */
  public static final byte DATA_ROW = 'D';

  /** Reports that a command is complete. */
  public static final byte COMMAND_COMPLETE = 'C';

  /** Answers an empty query. */
  public static final byte EMPTY_QUERY = 'I';

  /** Reports an error. */
  public static final byte ERROR = 'E';

  /** Carries a notice. */
  public static final byte NOTICE = 'N';

  /** Answers a parse frame. */
  public static final byte PARSE_COMPLETE = '1';

  /** Answers a bind frame. */
  public static final byte BIND_COMPLETE = '2';

  /** Answers a close frame. */
  public static final byte CLOSE_COMPLETE = '3';

  /** Reports that a statement returns no rows. */
  public static final byte NO_DATA = 'n';

  /** Describes the parameters of a statement. */
  public static final byte PARAMETER_DESCRIPTION = 't';

  /** Reports that the row limit of an execute frame was reached. */
  public static final byte PORTAL_SUSPENDED = 's';

  /** Requests the data of a COPY from the client. */
  public static final byte COPY_IN = 'G';

  /** Announces the data of a COPY to the client. */
  public static final byte COPY_OUT = 'H';

  private BackendType() {}
}
