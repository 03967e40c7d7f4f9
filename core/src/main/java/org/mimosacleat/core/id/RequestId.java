package org.mimosacleat.core.id;

import org.mimosacleat.core.check.Checks;

/**
 * Names one request for idempotent repeats; chosen by the caller.
 *
 * @param value the name, not blank, at most {@value Checks#MAXIMUM_NAME_LENGTH} characters
 */
public record RequestId(String value) implements Comparable<RequestId> {
  /** Checks the name. */
  public RequestId {
    Checks.name("request id", value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
