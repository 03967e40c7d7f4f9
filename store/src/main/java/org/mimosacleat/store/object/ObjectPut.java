package org.mimosacleat.store.object;

import org.mimosacleat.core.check.Checks;
import org.mimosacleat.store.pacing.WriteId;

/**
 * A conditional put of one object.
 *
 * @param key the key of the object
 * @param condition the condition on the stored object
 * @param id the unique id of this write; a retry uses the same id
 * @param text the new content
 */
public record ObjectPut(ObjectKey key, PutCondition condition, WriteId id, String text) {
  /** Validates the components. */
  public ObjectPut {
    Checks.notNull("object key", key);
    Checks.notNull("condition", condition);
    Checks.notNull("write id", id);
    Checks.notNull("text", text);
  }
}
