package org.mimosacleat.core.settings;

import io.vavr.control.Either;
import java.time.Instant;
import java.time.format.DateTimeParseException;

/** A point in time in UTC, as in {@code 2026-12-31T00:00:00Z}. */
public record InstantType() implements ValueType<Instant> {
  @Override
  public Either<String, Instant> parse(String text) {
    try {
      return Either.right(Instant.parse(text));
    } catch (DateTimeParseException notAnInstant) {
      return Either.left(allowed());
    }
  }

  @Override
  public String allowed() {
    return "a time in UTC such as 2026-12-31T00:00:00Z";
  }
}
