package org.mimosacleat.store.object;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.store.pacing.WriteId;

/**
 * One object, as read from the store.
 *
 * @param key the key of the object
 * @param tag the entity tag of this content
 * @param writer the id of the write that stored this content
 * @param text the content, stored as UTF-8
 */
public record StoredObject(ObjectKey key, EntityTag tag, WriteId writer, String text) {
  /** Validates the components. */
  public StoredObject {
    Checks.notNull("object key", key);
    Checks.notNull("entity tag", tag);
    Checks.notNull("writer", writer);
    Checks.notNull("text", text);
  }
}
