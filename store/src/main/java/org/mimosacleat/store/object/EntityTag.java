package org.mimosacleat.store.object;

import org.mimosacleat.core.check.Checks;

/**
 * Names one content of an object; HTTP calls it the ETag.
 *
 * @param value the tag as the store gave it
 */
public record EntityTag(String value) {
  /** Checks the tag. */
  public EntityTag {
    Checks.name("entity tag", value);
  }

  @Override
  public String toString() {
    return value;
  }
}
