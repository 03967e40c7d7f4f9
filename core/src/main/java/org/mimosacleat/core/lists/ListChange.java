package org.mimosacleat.core.lists;

import java.util.Optional;
import org.mimosacleat.core.check.Checks;

/**
 * One difference between two versions of a list.
 *
 * @param section the section's header
 * @param key the key; empty when a section without keys is added or removed
 * @param before the value in the first version, or empty if the key is absent
 * @param after the value in the second version, or empty if the key is absent
 */
public record ListChange(
    String section, String key, Optional<String> before, Optional<String> after) {
  /** Validates the components. */
  public ListChange {
    Checks.notNull("section", section);
    Checks.notNull("key", key);
    Checks.notNull("value before", before);
    Checks.notNull("value after", after);
  }

  /** Returns the change as one line. */
  @Override
  public String toString() {
    return "["
        + section
        + "] "
        + key
        + ": "
        + before.orElse("(absent)")
        + " -> "
        + after.orElse("(absent)");
  }
}
