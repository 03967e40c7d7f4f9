package org.mimosacleat.core.status;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;

/**
 * A decision and its reason, as text for an operator.
 *
 * @param at when the decision was made
 * @param subject what the decision concerns, for example a group or a list
 * @param explanation what was decided and why
 */
public record DecisionNote(Instant at, String subject, String explanation) {
  /** Validates the components. */
  public DecisionNote {
    Checks.notNull("decision time", at);
    Checks.notNull("subject", subject);
    Checks.notNull("explanation", explanation);
  }
}
