package org.mimosacleat.store.object;

import java.util.Optional;
import org.mimosacleat.core.check.Checks;

/** The condition on the stored object under which a put takes effect. */
public sealed interface PutCondition {
  /** The object does not exist ({@code If-None-Match: *}). */
  record Absent() implements PutCondition {}

  /**
   * The object has the given content ({@code If-Match}).
   *
   * @param tag the tag of the content
   */
  record Matches(EntityTag tag) implements PutCondition {
    /** Validates the tag. */
    public Matches {
      Checks.notNull("entity tag", tag);
    }
  }

  /** Returns whether the stored object, empty if there is none, meets the condition. */
  default boolean holdsFor(Optional<StoredObject> object) {
    return switch (this) {
      case Absent _ -> object.isEmpty();
      case Matches(EntityTag tag) -> object.isPresent() && object.get().tag().equals(tag);
    };
  }
}
