package org.mimosacleat.core.vmlist;

/** The state of a VM or an endpoint in the platform's list. */
public enum ListedState {
  /** It was running, as far as the platform knew when it wrote the list. */
  LIVE,
  /** It is about to be stopped and should get no new work. */
  LEAVING
}
