package org.mimosacleat.wire.postgres;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.mimosacleat.core.error.Failure;

/** Creates the frames that proxies and stand-ins send themselves rather than relay. */
public final class Frames {
  private static final int AUTHENTICATION_OK = 0;
  private static final int TEXT_TYPE_OID = 25;
  private static final int VARIABLE_SIZE = -1;
  private static final int NULL_LENGTH = -1;

  private Frames() {}

  /** Reports that authentication succeeded. */
  public static Frame authenticationOk() {
    return new BodyBuilder().integer(AUTHENTICATION_OK).frame(BackendType.AUTHENTICATION);
  }

  /** Reports the value of a session setting. */
  public static Frame parameterStatus(String name, String value) {
    return new BodyBuilder().string(name).string(value).frame(BackendType.PARAMETER_STATUS);
  }

  /** Carries the key for cancel requests. */
  public static Frame backendKeyData(int processId, int secretKey) {
    return new BodyBuilder()
        .integer(processId)
        .integer(secretKey)
        .frame(BackendType.BACKEND_KEY_DATA);
  }

  /** Ends a batch and reports the transaction status. */
  public static Frame readyForQuery(TransactionStatus status) {
    return new BodyBuilder().octet(status.code()).frame(BackendType.READY_FOR_QUERY);
  }

  /** Reports a failure with the SQLSTATE of its kind; the failure's detail becomes the message. */
  public static Frame error(Failure failure) {
    return error("ERROR", failure.kind().sqlState(), failure.detail(), failure.kind().name());
  }

  /** Reports an error with the given SQLSTATE. */
  public static Frame error(String severity, String sqlState, String message, String detail) {
    return new BodyBuilder()
        .octet('S')
        .string(severity)
        .octet('V')
        .string(severity)
        .octet('C')
        .string(sqlState)
        .octet('M')
        .string(message)
        .octet('D')
        .string(detail)
        .octet(0)
        .frame(BackendType.ERROR);
  }

  /** Reports a failure after which the server closes the connection. */
  public static Frame fatal(Failure failure) {
    return error("FATAL", failure.kind().sqlState(), failure.detail(), failure.kind().name());
  }

  /** Reports that a command is complete, for example with the tag {@code INSERT 0 1}. */
  public static Frame commandComplete(String tag) {
    return new BodyBuilder().string(tag).frame(BackendType.COMMAND_COMPLETE);
  }

  /** Describes columns of type text. */
  public static Frame textColumns(List<String> names) {
    BodyBuilder body = new BodyBuilder().shortInteger(names.size());
    for (String name : names) {
      body.string(name)
          .integer(0)
          .shortInteger(0)
          .integer(TEXT_TYPE_OID)
          .shortInteger(VARIABLE_SIZE)
          .integer(VARIABLE_SIZE)
          .shortInteger(0);
    }
    return body.frame(BackendType.ROW_DESCRIPTION);
  }

  /** Carries one row of text values; a null element stands for SQL NULL. */
  public static Frame textRow(List<String> values) {
    BodyBuilder body = new BodyBuilder().shortInteger(values.size());
    for (String value : values) {
      if (value == null) {
        body.integer(NULL_LENGTH);
        continue;
      }
      byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
      body.integer(bytes.length).bytes(bytes);
    }
    return body.frame(BackendType.DATA_ROW);
  }

  /** Requests a simple query. */
  public static Frame query(String text) {
    return new BodyBuilder().string(text).frame(FrontendType.QUERY);
  }

  /** Returns a frame without a body. */
  public static Frame empty(byte type) {
    return new Frame(type, new byte[0]);
  }
}
