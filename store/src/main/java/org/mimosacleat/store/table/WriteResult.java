package org.mimosacleat.store.table;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.error.Failure;

/** The outcome of a write or a transaction. */
public sealed interface WriteResult {
  /** The write took effect exactly once, in full. */
  record Applied() implements WriteResult {}

  /** A condition was not met. Nothing was written, and this write will never take effect. */
  record ConditionFailed() implements WriteResult {}

  /**
   * The write was not sent, or the store rejected it. It did not take effect and never will.
   *
   * @param failure the cause
   */
  record NotSent(Failure failure) implements WriteResult {
    /** Validates the failure. */
    public NotSent {
      Checks.notNull("failure", failure);
    }
  }

  /**
   * The write may have taken effect, or may still do so.
   *
   * @param failure why the outcome is unknown
   */
  record Unknown(Failure failure) implements WriteResult {
    /** Validates the failure. */
    public Unknown {
      Checks.notNull("failure", failure);
    }
  }

  /** Returns whether the write is known to have taken effect. */
  default boolean isApplied() {
    return this instanceof Applied;
  }
}
