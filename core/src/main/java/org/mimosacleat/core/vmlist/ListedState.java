package org.mimosacleat.core.vmlist;

/** What the platform says of a VM or an endpoint that it lists. */
public enum ListedState {
  /** It runs, as far as the platform knew when it wrote the list. */
  LIVE,
  /** It will be stopped soon and should get no new work. */
  LEAVING
}
