package org.mimosacleat.core.statement;

import java.util.List;

/** The precedence of the statement kinds within a batch. */
final class StatementPrecedence {
  /**
   * The first of these kinds that occurs is the kind of the batch. The classifier handles the other
   * kinds before.
   */
  static final List<StatementKind> HIGHEST_FIRST =
      List.of(
          StatementKind.BEGIN,
          StatementKind.COMMIT,
          StatementKind.WRITE,
          StatementKind.ROLLBACK,
          StatementKind.READ,
          StatementKind.SET);

  private StatementPrecedence() {}
}
