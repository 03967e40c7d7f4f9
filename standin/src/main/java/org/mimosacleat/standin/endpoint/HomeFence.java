package org.mimosacleat.standin.endpoint;

/**
 * The highest home fencing token that an instance has accepted.
 *
 * @param highest the token in force, or zero if none has been set
 * @param previous the token that was in force before {@code highest}
 */
record HomeFence(long highest, long previous) {
  /** The token of a session that was opened without one; such a session is never fenced. */
  static final long NO_TOKEN = -1;

  static final HomeFence NONE = new HomeFence(0, 0);

  HomeFence withToken(long token) throws SqlStateException {
    if (token < highest) {
      throw new SqlStateException(
          SqlStateException.INVALID_PARAMETER_VALUE,
          "mimosacleat.home_token must not decrease from " + highest + " to " + token);
    }
    return token == highest ? this : new HomeFence(token, highest);
  }

  /** Returns whether a session with this token is fenced. */
  boolean rejects(long token) {
    return token != NO_TOKEN && token < highest;
  }
}
