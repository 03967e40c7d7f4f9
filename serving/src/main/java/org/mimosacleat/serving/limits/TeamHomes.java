package org.mimosacleat.serving.limits;

import org.mimosacleat.core.id.TeamId;
import org.mimosacleat.core.id.VmId;

/** The homes of the teams. By default no proxy is a home, so that no proxy has a floor. */
public interface TeamHomes {
  /** No homes. */
  TeamHomes NONE = new TeamHomes() {};

  /** Returns the number of groups whose home for the team is a proxy. */
  default int homeGroups(VmId proxy, TeamId team) {
    return 0;
  }

  /** Returns the number of groups. */
  default int groups() {
    return 0;
  }
}
