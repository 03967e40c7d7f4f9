package org.mimosacleat.store.object;

import org.mimosacleat.core.check.Checks;

/**
 * Identifies one version of the content of an object (the HTTP header {@code ETag}).
 *
 * @param value the tag as the store returned it
 */
public record EntityTag(String value) {
  /** Validates the tag. */
  public EntityTag {
    Checks.name("entity tag", value);
  }

  @Override
  public String toString() {
    return value;
  }
}
