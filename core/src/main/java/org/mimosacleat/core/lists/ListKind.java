package org.mimosacleat.core.lists;

import java.util.Locale;

/** The two lists that operators edit. */
public enum ListKind {
  /** Which customer has which plan. */
  PLANS,
  /** What each plan may use. */
  ALLOWANCES;

  /** Returns the other list. */
  public ListKind other() {
    return this == PLANS ? ALLOWANCES : PLANS;
  }

  /** Returns the name of the list in commands, keys and logs. */
  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
