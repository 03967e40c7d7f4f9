package org.mimosacleat.store.aws;

import java.net.ConnectException;
import java.util.concurrent.TimeoutException;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import software.amazon.awssdk.core.exception.SdkServiceException;

/** Turns exceptions of the SDK into failures. */
final class AwsFailures {
  private static final int FIRST_SERVER_ERROR = 500;

  private AwsFailures() {}

  /** Returns the failure of a read. */
  static Failure ofRead(String service, Exception exception) {
    return new Failure(ErrorKind.UNAVAILABLE, describe(service, exception));
  }

  /** Returns the failure of a write of which it is not known whether it took effect. */
  static Failure ofUnknownWrite(String service, Exception exception) {
    ErrorKind kind =
        exception instanceof TimeoutException
            ? ErrorKind.DEADLINE_AFTER_START
            : ErrorKind.CONNECTION_LOST;
    return new Failure(kind, describe(service, exception));
  }

  /** Tells whether a write certainly took no effect: refused, or no connection was made. */
  static boolean isWithoutEffect(Exception exception) {
    if (exception instanceof SdkServiceException answer) {
      return answer.statusCode() < FIRST_SERVER_ERROR;
    }
    for (Throwable cause = exception; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException) {
        return true;
      }
    }
    return false;
  }

  private static String describe(String service, Exception exception) {
    String reason =
        exception instanceof TimeoutException ? "no answer in time" : exception.getMessage();
    return "the " + service + " failed: " + reason;
  }
}
