package org.mimosacleat.store.lists;

import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersions;

/**
 * The heads of both lists, from a single read of the table.
 *
 * @param plans the head of the list of plans
 * @param allowances the head of the list of allowances
 */
record ListHeads(ListHead plans, ListHead allowances) {
  ListHead of(ListKind kind) {
    return switch (kind) {
      case PLANS -> plans;
      case ALLOWANCES -> allowances;
    };
  }

  ListVersions versions() {
    return new ListVersions(plans.version(), allowances.version());
  }
}
