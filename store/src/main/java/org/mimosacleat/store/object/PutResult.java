package org.mimosacleat.store.object;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.error.Failure;

/** The outcome of a put. */
public sealed interface PutResult {
  /**
   * The put took effect.
   *
   * @param tag the tag of the new content
   */
  record Stored(EntityTag tag) implements PutResult {
    /** Validates the tag. */
    public Stored {
      Checks.notNull("entity tag", tag);
    }
  }

  /** The condition was not met. The put did not take effect and never will. */
  record ConditionFailed() implements PutResult {}

  /**
   * The put was not sent, or the store rejected it. It did not take effect and never will.
   *
   * @param failure the cause
   */
  record NotSent(Failure failure) implements PutResult {
    /** Validates the failure. */
    public NotSent {
      Checks.notNull("failure", failure);
    }
  }

  /**
   * The put may have taken effect, or may still do so.
   *
   * @param failure why the outcome is unknown
   */
  record Unknown(Failure failure) implements PutResult {
    /** Validates the failure. */
    public Unknown {
      Checks.notNull("failure", failure);
    }
  }
}
