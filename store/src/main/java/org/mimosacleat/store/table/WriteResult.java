package org.mimosacleat.store.table;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.error.Failure;

/** What became of a write or a transaction. */
public sealed interface WriteResult {
  /** It took effect, once and as a whole. */
  record Applied() implements WriteResult {}

  /** A condition did not hold; nothing was written, and this write never will be. */
  record ConditionFailed() implements WriteResult {}

  /**
   * It was not sent, or the store did not take it in, so it never takes effect.
   *
   * @param failure why
   */
  record NotSent(Failure failure) implements WriteResult {
    /** Checks the failure. */
    public NotSent {
      Checks.notNull("failure", failure);
    }
  }

  /**
   * It may have taken effect, or may still do so.
   *
   * @param failure why nothing is known
   */
  record Unknown(Failure failure) implements WriteResult {
    /** Checks the failure. */
    public Unknown {
      Checks.notNull("failure", failure);
    }
  }

  /** Tells whether the write certainly took effect. */
  default boolean isApplied() {
    return this instanceof Applied;
  }
}
