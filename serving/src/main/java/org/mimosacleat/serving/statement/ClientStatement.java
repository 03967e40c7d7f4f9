package org.mimosacleat.serving.statement;

import org.mimosacleat.core.check.Checks;

/**
 * One statement as a client sent it.
 *
 * @param id the client's id for it
 * @param text the complete text, which must reach endpoints unchanged
 * @param body the decoded text
 */
public record ClientStatement(StatementId id, String text, StatementBody body) {
  /** Checks that no component is null. */
  public ClientStatement {
    Checks.notNull("statement id", id);
    Checks.notNull("statement text", text);
    Checks.notNull("statement body", body);
  }
}
