package org.mimosacleat.proxy.client;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.RequestId;
import org.mimosacleat.core.id.SessionId;
import org.mimosacleat.core.settings.DurationType;

/**
 * The options that a client sets for the proxy, as settings whose names start with {@value
 * #PREFIX}. Immutable; {@link #with} returns a changed copy.
 *
 * @param session the id that identifies the session on all proxies
 * @param maxStaleness the maximum age of the data of reads; empty if reads must see the session's
 *     own writes
 * @param requestId the request id of the next write; empty if it has none
 * @param retryable whether proxies may retry requests that are safe to repeat
 */
record SessionHints(
    SessionId session,
    Optional<Duration> maxStaleness,
    Optional<RequestId> requestId,
    boolean retryable) {
  /** The prefix of the names of these settings. */
  static final String PREFIX = "mimosacleat.";

  private static final DurationType MAX_STALENESS_TYPE =
      new DurationType(Duration.ZERO, Duration.ofDays(1));

  static SessionHints forSession(SessionId session) {
    return new SessionHints(session, Optional.empty(), Optional.empty(), true);
  }

  /** Returns the hints with one setting changed; an empty value resets it, except the session. */
  Either<Failure, SessionHints> with(String name, String value) {
    return switch (name) {
      case "session" -> withSession(value);
      case "max_age" -> withMaxStaleness(value);
      case "request_id" -> withRequestId(value);
      case "not_repeatable" -> withNotRetryable(value);
      default -> refuse(name, value, "session, max_age, request_id or not_repeatable as the name");
    };
  }

  SessionHints withoutRequestId() {
    return new SessionHints(session, maxStaleness, Optional.empty(), retryable);
  }

  private Either<Failure, SessionHints> withSession(String value) {
    if (isInvalidName(value)) {
      return refuse("session", value, "a name");
    }
    return Either.right(new SessionHints(new SessionId(value), maxStaleness, requestId, retryable));
  }

  private Either<Failure, SessionHints> withMaxStaleness(String value) {
    if (value.isEmpty()) {
      return Either.right(new SessionHints(session, Optional.empty(), requestId, retryable));
    }
    return MAX_STALENESS_TYPE
        .parse(value)
        .mapLeft(expected -> failure("max_age", value, expected))
        .map(staleness -> new SessionHints(session, Optional.of(staleness), requestId, retryable));
  }

  private Either<Failure, SessionHints> withRequestId(String value) {
    if (value.isEmpty()) {
      return Either.right(withoutRequestId());
    }
    if (isInvalidName(value)) {
      return refuse("request_id", value, "a name");
    }
    return Either.right(
        new SessionHints(session, maxStaleness, Optional.of(new RequestId(value)), retryable));
  }

  private Either<Failure, SessionHints> withNotRetryable(String value) {
    return switch (value.toLowerCase(java.util.Locale.ROOT)) {
      case "on", "true", "1" ->
          Either.right(new SessionHints(session, maxStaleness, requestId, false));
      case "off", "false", "0", "" ->
          Either.right(new SessionHints(session, maxStaleness, requestId, true));
      default -> refuse("not_repeatable", value, "on or off");
    };
  }

  private static boolean isInvalidName(String value) {
    return value.isBlank()
        || value.length() > org.mimosacleat.core.check.Checks.MAXIMUM_NAME_LENGTH;
  }

  private static Either<Failure, SessionHints> refuse(String name, String value, String expected) {
    return Either.left(failure(name, value, expected));
  }

  private static Failure failure(String name, String value, String expected) {
    return new Failure(
        ErrorKind.INVALID_SETTING, PREFIX + name + " = '" + value + "': allowed is " + expected);
  }
}
