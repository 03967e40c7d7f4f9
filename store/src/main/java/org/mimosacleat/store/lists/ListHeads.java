package org.mimosacleat.store.lists;

import org.mimosacleat.core.lists.ListKind;
import org.mimosacleat.core.lists.ListVersions;

/**
 * The newest versions of both lists, as one read of the table found them.
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
