package org.mimosacleat.core.lists;

import org.mimosacleat.core.check.Checks;

/**
 * The versions of both lists in the store or in a process; comparing them shows which side has the
 * newer version of a list.
 *
 * @param plans the version of the list of plans
 * @param allowances the version of the list of allowances
 */
public record ListVersions(ListVersion plans, ListVersion allowances) {
  /** Validates the components. */
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
