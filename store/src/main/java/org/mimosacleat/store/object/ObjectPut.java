package org.mimosacleat.store.object;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.store.pacing.WriteId;

/**
 * One conditional put.
 *
 * @param key the object
 * @param condition what must be true of it
 * @param id the unique name of this write; a retry keeps it
 * @param text the new content
 */
public record ObjectPut(ObjectKey key, PutCondition condition, WriteId id, String text) {
  /** Checks the parts. */
  public ObjectPut {
    Checks.notNull("object key", key);
    Checks.notNull("condition", condition);
    Checks.notNull("write id", id);
    Checks.notNull("text", text);
  }
}
