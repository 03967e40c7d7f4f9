package org.mimosacleat.store.object;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.error.Failure;

/** What became of a put. */
public sealed interface PutResult {
  /**
   * It took effect.
   *
   * @param tag the tag of the new content
   */
  record Stored(EntityTag tag) implements PutResult {
    /** Checks the tag. */
    public Stored {
      Checks.notNull("entity tag", tag);
    }
  }

  /** The condition did not hold; nothing was written, and this put never will be. */
  record ConditionFailed() implements PutResult {}

  /**
   * It was not sent, or the store did not take it in, so it never takes effect.
   *
   * @param failure why
   */
  record NotSent(Failure failure) implements PutResult {
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
  record Unknown(Failure failure) implements PutResult {
    /** Checks the failure. */
    public Unknown {
      Checks.notNull("failure", failure);
    }
  }
}
