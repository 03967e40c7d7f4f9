package org.mimosacleat.serving.statement;

import org.mimosacleat.core.check.Checks;

/**
 * Names one statement of a client, from its arrival to the endpoint's record of it.
 *
 * @param value the name, not blank
 */
public record StatementId(String value) {
  /** Checks the name. */
  public StatementId {
    Checks.name("statement id", value);
  }

  @Override
  public String toString() {
    return value;
  }
}
