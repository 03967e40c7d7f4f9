package org.mimosacleat.store.object;

import org.mimosacleat.core.check.Checks;

/** The result of reading one object. */
public sealed interface ObjectRead {
  /**
   * The object exists and its content was returned.
   *
   * @param object the object
   */
  record Found(StoredObject object) implements ObjectRead {
    /** Validates the object. */
    public Found {
      Checks.notNull("object", object);
    }
  }

  /** The object still has the entity tag given by the reader, so the content was not returned. */
  record NotModified() implements ObjectRead {}

  /** The object does not exist. */
  record Missing() implements ObjectRead {}
}
