package org.mimosacleat.store.object;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.store.pacing.WriteId;

/**
 * One object as it was read.
 *
 * @param key the object's name
 * @param tag the tag of this content
 * @param writer the write that left the object as it is
 * @param text the content, stored as UTF-8
 */
public record StoredObject(ObjectKey key, EntityTag tag, WriteId writer, String text) {
  /** Checks the parts. */
  public StoredObject {
    Checks.notNull("object key", key);
    Checks.notNull("entity tag", tag);
    Checks.notNull("writer", writer);
    Checks.notNull("text", text);
  }
}
