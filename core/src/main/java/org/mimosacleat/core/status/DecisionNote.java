package org.mimosacleat.core.status;

import java.time.Instant;
import org.mimosacleat.core.check.Checks;

/**
 * One decision with its reason, in words for an operator.
 *
 * @param at when it was made
 * @param subject what it is about, for example a group or a list
 * @param explanation what was decided and why
 */
public record DecisionNote(Instant at, String subject, String explanation) {
  /** Checks the parts. */
  public DecisionNote {
    Checks.notNull("time of the decision", at);
    Checks.notNull("subject", subject);
    Checks.notNull("explanation", explanation);
  }
}
