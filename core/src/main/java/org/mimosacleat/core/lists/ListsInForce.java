package org.mimosacleat.core.lists;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.id.CustomerId;

/**
 * What a process goes by at one moment: the version it has of each list, and what each customer may
 * use. It is never changed; a new version of a list makes a new one.
 *
 * @param plans the version in force of the list of plans; empty before the first
 * @param allowances the version in force of the list of allowances; empty before the first
 * @param pair both lists as read
 * @param customers what each customer may use
 */
public record ListsInForce(
    Optional<PublishedList> plans,
    Optional<PublishedList> allowances,
    ListPair pair,
    Map<CustomerId, CustomerAllowance> customers) {
  /** No list yet; nobody may use anything. */
  public static final ListsInForce NONE =
      new ListsInForce(
          Optional.empty(),
          Optional.empty(),
          new ListPair(PlansList.EMPTY, AllowancesList.EMPTY),
          Map.of());

  /** Checks the parts. */
  public ListsInForce {
    Checks.notNull("plans", plans);
    Checks.notNull("allowances", allowances);
    Checks.notNull("pair of lists", pair);
    customers = Map.copyOf(customers);
  }

  /** Returns the version in force of one list. */
  public Optional<PublishedList> list(ListKind kind) {
    return switch (kind) {
      case PLANS -> plans;
      case ALLOWANCES -> allowances;
    };
  }

  /** Returns the number of the version in force of one list. */
  public ListVersion version(ListKind kind) {
    return list(kind).map(PublishedList::version).orElse(ListVersion.NONE);
  }

  /** Returns the numbers of both versions. */
  public ListVersions versions() {
    return new ListVersions(version(ListKind.PLANS), version(ListKind.ALLOWANCES));
  }

  /** Returns the text in force of one list. */
  public String text(ListKind kind) {
    return list(kind).map(PublishedList::text).orElse("");
  }

  /** Returns what a customer may use; empty if the customer is not listed. */
  public Optional<CustomerAllowance> allowance(CustomerId customer) {
    return Optional.ofNullable(customers.get(customer));
  }

  /**
   * Returns this with another version of one list. Between the arrivals of two edits a customer's
   * plan may be unknown for a moment; the customer then keeps what it had.
   */
  ListsInForce with(PublishedList list, ListPair changed) {
    Map<CustomerId, CustomerAllowance> resolved = new HashMap<>();
    for (CustomerPlan customer : changed.plans().customers().values()) {
      resolve(customer, changed)
          .or(() -> allowance(customer.customer()))
          .ifPresent(found -> resolved.put(customer.customer(), found));
    }
    return switch (list.kind()) {
      case PLANS -> new ListsInForce(Optional.of(list), allowances, changed, resolved);
      case ALLOWANCES -> new ListsInForce(plans, Optional.of(list), changed, resolved);
    };
  }

  private static Optional<CustomerAllowance> resolve(CustomerPlan customer, ListPair pair) {
    return pair.allowances()
        .of(customer.plan())
        .map(plan -> new CustomerAllowance(customer, plan, pair.guaranteedShare(customer)));
  }
}
