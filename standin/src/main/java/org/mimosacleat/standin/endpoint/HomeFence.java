package org.mimosacleat.standin.endpoint;

/**
 * The highest fencing token that an instance has accepted; immutable.
 *
 * @param highest the token in force, zero if none ever was
 * @param previous the token before it
 */
record HomeFence(long highest, long previous) {
  /** The token of a session that was opened without one; it is never fenced. */
  static final long NO_TOKEN = -1;

  static final HomeFence NONE = new HomeFence(0, 0);

  HomeFence with(long token) throws SqlError {
    if (token < highest) {
      throw new SqlError(
          SqlError.INVALID_VALUE,
          "mimosacleat.home_token must not go down from " + highest + " to " + token);
    }
    return token == highest ? this : new HomeFence(token, highest);
  }

  /** Tells whether a session with this token may not work any more. */
  boolean shutsOut(long token) {
    return token != NO_TOKEN && token < highest;
  }
}
