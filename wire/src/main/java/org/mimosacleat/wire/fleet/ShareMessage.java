package org.mimosacleat.wire.fleet;

import java.util.List;
import org.mimosacleat.core.admission.ShareGrant;
import org.mimosacleat.core.admission.ShareReport;

/** A message about the division of customers' allowances over homes. */
public sealed interface ShareMessage {
  /**
   * Reports of a home to a coordinator.
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
   * Answers of a coordinator to a home.
   *
   * @param grants one for each report that was answered
   */
  record Grants(List<ShareGrant> grants) implements ShareMessage {
    /** Copies the grants. */
    public Grants {
      grants = List.copyOf(grants);
    }
  }
}
