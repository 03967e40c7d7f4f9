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
    return new BodyBuilder().int32(AUTHENTICATION_OK).frame(BackendType.AUTHENTICATION);
  }

  /** Reports the value of a session setting. */
  public static Frame parameterStatus(String name, String value) {
    return new BodyBuilder().string(name).string(value).frame(BackendType.PARAMETER_STATUS);
  }

  /** Carries the key for cancel requests. */
  public static Frame backendKeyData(int processId, int secretKey) {
    return new BodyBuilder().int32(processId).int32(secretKey).frame(BackendType.BACKEND_KEY_DATA);
  }

  /** Ends a batch and reports the transaction status. */
  public static Frame readyForQuery(TransactionStatus status) {
    return new BodyBuilder().int8(status.code()).frame(BackendType.READY_FOR_QUERY);
  }

  /** Reports a failure with the SQLSTATE of its kind; the failure's detail becomes the message. */
  public static Frame error(Failure failure) {
    return error("ERROR", failure.kind().sqlState(), failure.detail(), failure.kind().name());
  }

  /** Reports an error with the given SQLSTATE. */
  public static Frame error(String severity, String sqlState, String message, String detail) {
    return new BodyBuilder()
        .int8('S')
        .string(severity)
        .int8('V')
        .string(severity)
        .int8('C')
        .string(sqlState)
        .int8('M')
        .string(message)
        .int8('D')
        .string(detail)
        .int8(0)
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
    BodyBuilder body = new BodyBuilder().int16(names.size());
    for (String name : names) {
      body.string(name)
          .int32(0)
          .int16(0)
          .int32(TEXT_TYPE_OID)
          .int16(VARIABLE_SIZE)
          .int32(VARIABLE_SIZE)
          .int16(0);
    }
    return body.frame(BackendType.ROW_DESCRIPTION);
  }

  /** Carries one row of text values; a null element stands for SQL NULL. */
  public static Frame textRow(List<String> values) {
    BodyBuilder body = new BodyBuilder().int16(values.size());
    for (String value : values) {
      if (value == null) {
        body.int32(NULL_LENGTH);
        continue;
      }
      byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
      body.int32(bytes.length).bytes(bytes);
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
