package org.mimosacleat.core.lists;

import org.mimosacleat.core.check.Checks;

/**
 * The versions of both lists that a process has in force; peers send them to each other to learn
 * who has something newer.
 *
 * @param plans the version of the list of plans
 * @param allowances the version of the list of allowances
 */
public record ListVersions(ListVersion plans, ListVersion allowances) {
  /** Checks the parts. */
  public ListVersions {
    Checks.notNull("version of the plans", plans);
    Checks.notNull("version of the allowances", allowances);
  }

  /** Returns the version of one list. */
  public ListVersion of(ListKind kind) {
    return switch (kind) {
      case PLANS -> plans;
      case ALLOWANCES -> allowances;
    };
  }
}
