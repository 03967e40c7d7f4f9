package org.mimosacleat.core.settings;

import io.vavr.control.Either;

/** A boolean: {@code true} or {@code false}. */
public record BooleanType() implements ValueType<Boolean> {
  @Override
  public Either<String, Boolean> parse(String text) {
    return switch (text) {
      case "true" -> Either.right(true);
      case "false" -> Either.right(false);
      default -> Either.left(allowed());
    };
  }

  @Override
  public String allowed() {
    return "true or false";
  }
}
