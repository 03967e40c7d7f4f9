package org.mimosacleat.serving.statement;

import org.mimosacleat.core.check.Checks;

/**
 * One statement as a client sent it.
 *
 * @param id the client's id for it
 * @param text the whole text, which endpoints must get unchanged
 * @param body what the text means
 */
public record ClientStatement(StatementId id, String text, StatementBody body) {
  /** Checks the parts. */
  public ClientStatement {
    Checks.notNull("statement id", id);
    Checks.notNull("statement text", text);
    Checks.notNull("statement body", body);
  }
}
