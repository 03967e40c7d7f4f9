package org.mimosacleat.wire.fleet;

import java.util.List;
import org.mimosacleat.core.admission.ShareGrant;
import org.mimosacleat.core.admission.ShareReport;

/** A message about how the allowances of customers are divided among homes. */
public sealed interface ShareMessage {
  /**
   * Reports from a home to a coordinator.
   *
   * @param reports one for each customer and resource
   */
  record Reports(List<ShareReport> reports) implements ShareMessage {
    /** Copies the reports. */
    public Reports {
      reports = List.copyOf(reports);
    }
  }

  /**
   * Grants from a coordinator to a home.
   *
   * @param grants one for each answered report
   */
  record Grants(List<ShareGrant> grants) implements ShareMessage {
    /** Copies the grants. */
    public Grants {
      grants = List.copyOf(grants);
    }
  }
}
