package org.mimosacleat.core.statement;

import java.util.List;

/** The order in which the kinds of a batch override one another. */
final class StatementPrecedence {
  /** A kind stands for the whole batch if none before it occurs. */
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
