package org.mimosacleat.store.object;

import java.util.Optional;
import org.mimosacleat.core.check.Checks;

/** What must be true of an object at the moment of a put. */
public sealed interface PutCondition {
  /** The object does not exist ({@code If-None-Match: *}). */
  record Absent() implements PutCondition {}

  /**
   * The object has this content ({@code If-Match}).
   *
   * @param tag the tag of the content
   */
  record Matches(EntityTag tag) implements PutCondition {
    /** Checks the tag. */
    public Matches {
      Checks.notNull("entity tag", tag);
    }
  }

  /** Tells whether an object, or its absence, fulfils the condition. */
  default boolean holdsFor(Optional<StoredObject> object) {
    return switch (this) {
      case Absent _ -> object.isEmpty();
      case Matches(EntityTag tag) -> object.isPresent() && object.get().tag().equals(tag);
    };
  }
}
