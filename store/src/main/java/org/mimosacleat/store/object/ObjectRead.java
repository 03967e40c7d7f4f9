package org.mimosacleat.store.object;

import org.mimosacleat.core.check.Checks;

/** The answer to a read of one object. */
public sealed interface ObjectRead {
  /**
   * The object is there.
   *
   * @param object its content
   */
  record Found(StoredObject object) implements ObjectRead {
    /** Checks the object. */
    public Found {
      Checks.notNull("object", object);
    }
  }

  /** The object still has the entity tag that the reader knows. */
  record NotModified() implements ObjectRead {}

  /** There is no such object. */
  record Missing() implements ObjectRead {}
}
