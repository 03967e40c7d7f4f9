package org.mimosacleat.core.lists;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.mimosacleat.core.id.PlanName;

/**
 * The allowances of all plans.
 *
 * @param plans the allowance of each plan
 */
public record AllowancesList(Map<PlanName, PlanAllowance> plans) {
  /** The empty list before the first edit. */
  public static final AllowancesList EMPTY = new AllowancesList(Map.of());

  /** Copies the map. */
  public AllowancesList {
    plans = Collections.unmodifiableMap(new TreeMap<>(plans));
  }

  /** Returns the allowance of a plan, if it is listed. */
  public Optional<PlanAllowance> of(PlanName plan) {
    return Optional.ofNullable(plans.get(plan));
  }
}
