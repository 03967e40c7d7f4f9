package org.mimosacleat.serving.statement;

import org.mimosacleat.core.check.Checks;

/**
 * Identifies one statement of a client, from its arrival to the endpoint's record of it.
 *
 * @param value the id, not blank
 */
public record StatementId(String value) {
  /** Checks that the id is valid. */
  public StatementId {
    Checks.name("statement id", value);
  }

  @Override
  public String toString() {
    return value;
  }
}
