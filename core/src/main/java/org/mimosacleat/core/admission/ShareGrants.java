package org.mimosacleat.core.admission;

import java.util.List;

/**
 * The coordinator's answer to one report.
 *
 * @param answer identifies this answer; later answers of a coordinator have higher numbers
 * @param grants the grants by team
 */
public record ShareGrants(long answer, List<TeamGrant> grants) {
  /** Creates an answer with an immutable copy of the list. */
  public ShareGrants {
    grants = List.copyOf(grants);
  }
}
