package org.mimosacleat.core.lists;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.TeamId;

/**
 * An immutable snapshot of the active lists of a process: the active version of each list and the
 * resulting allowance of each customer. A new version of a list creates a new snapshot.
 *
 * @param plans the active version of the list of plans; empty before the first one
 * @param allowances the active version of the list of allowances; empty before the first one
 * @param pair both parsed lists
 * @param customers the allowance of each customer
 */
public record ActiveLists(
    Optional<PublishedList> plans,
    Optional<PublishedList> allowances,
    ListPair pair,
    Map<TeamId, CustomerAllowance> customers) {
  /** The state before the first version of each list: no customer has an allowance. */
  public static final ActiveLists NONE =
      new ActiveLists(
          Optional.empty(),
          Optional.empty(),
          new ListPair(PlansList.EMPTY, AllowancesList.EMPTY),
          Map.of());

  /** Validates the components. */
  public ActiveLists {
    Checks.notNull("plans", plans);
    Checks.notNull("allowances", allowances);
    Checks.notNull("pair of lists", pair);
    customers = Map.copyOf(customers);
  }

  /** Returns the active version of one list. */
  public Optional<PublishedList> list(ListKind kind) {
    return switch (kind) {
      case PLANS -> plans;
      case ALLOWANCES -> allowances;
    };
  }

  /** Returns the version number of one active list. */
  public ListVersion version(ListKind kind) {
    return list(kind).map(PublishedList::version).orElse(ListVersion.NONE);
  }

  /** Returns the version numbers of both lists. */
  public ListVersions versions() {
    return new ListVersions(version(ListKind.PLANS), version(ListKind.ALLOWANCES));
  }

  /** Returns the active text of one list; empty before the first version. */
  public String text(ListKind kind) {
    return list(kind).map(PublishedList::text).orElse("");
  }

  /** Returns the allowance of a customer, if the customer is listed. */
  public Optional<CustomerAllowance> allowance(TeamId customer) {
    return Optional.ofNullable(customers.get(customer));
  }

  /**
   * Returns a snapshot with a new version of one list. When an edit of the plans arrives before the
   * edit of the allowances that adds a plan, the plan of a customer is unknown for a moment; the
   * customer then keeps its previous allowance.
   */
  ActiveLists withList(PublishedList list, ListPair newPair) {
    Map<TeamId, CustomerAllowance> resolved = new HashMap<>();
    for (CustomerPlan customer : newPair.plans().customers().values()) {
      resolve(customer, newPair)
          .or(() -> allowance(customer.customer()))
          .ifPresent(found -> resolved.put(customer.customer(), found));
    }
    return switch (list.kind()) {
      case PLANS -> new ActiveLists(Optional.of(list), allowances, newPair, resolved);
      case ALLOWANCES -> new ActiveLists(plans, Optional.of(list), newPair, resolved);
    };
  }

  private static Optional<CustomerAllowance> resolve(CustomerPlan customer, ListPair pair) {
    return pair.allowances()
        .of(customer.plan())
        .map(plan -> new CustomerAllowance(customer, plan, pair.guaranteedShare(customer)));
  }
}
