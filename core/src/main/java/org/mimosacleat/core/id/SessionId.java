package org.mimosacleat.core.id;

import org.mimosacleat.core.check.Checks;

/**
 * Identifies a session, which may move between connections and proxies.
 *
 * @param value the name, not blank, at most {@value Checks#MAXIMUM_NAME_LENGTH} characters
 */
public record SessionId(String value) implements Comparable<SessionId> {
  /** Validates the name. */
  public SessionId {
    Checks.name("session id", value);
  }

  @Override
  public int compareTo(SessionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
