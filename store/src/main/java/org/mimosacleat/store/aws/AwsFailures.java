package org.mimosacleat.store.aws;

import java.net.ConnectException;
import java.util.concurrent.TimeoutException;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import software.amazon.awssdk.core.exception.SdkServiceException;

/** Converts exceptions of the AWS SDK to failures. */
final class AwsFailures {
  private static final int MIN_SERVER_ERROR_STATUS = 500;

  private AwsFailures() {}

  /** Returns the failure of a read, or of a write that had no effect. */
  static Failure unavailable(String service, Exception exception) {
    return new Failure(ErrorKind.UNAVAILABLE, describe(service, exception));
  }

  /** Returns the failure of a write whose outcome is unknown. */
  static Failure unknownOutcome(String service, Exception exception) {
    ErrorKind kind =
        exception instanceof TimeoutException
            ? ErrorKind.DEADLINE_AFTER_START
            : ErrorKind.CONNECTION_LOST;
    return new Failure(kind, describe(service, exception));
  }

  /**
   * Returns whether a write certainly had no effect, because it was rejected with a status below
   * 500 or no connection was established.
   */
  static boolean hadNoEffect(Exception exception) {
    if (exception instanceof SdkServiceException serviceException) {
      return serviceException.statusCode() < MIN_SERVER_ERROR_STATUS;
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
        exception instanceof TimeoutException
            ? "no answer within the timeout"
            : exception.getMessage();
    return "request to the " + service + " failed: " + reason;
  }
}
