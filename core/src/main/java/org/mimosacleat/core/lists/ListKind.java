package org.mimosacleat.core.lists;

import java.util.Locale;

/** The two lists that operators edit. */
public enum ListKind {
  /** The plan of each customer. */
  PLANS,
  /** The allowance of each plan. */
  ALLOWANCES;

  /** Returns the other list. */
  public ListKind other() {
    return this == PLANS ? ALLOWANCES : PLANS;
  }

  /** Returns the name of the list as used in commands, keys and logs. */
  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
