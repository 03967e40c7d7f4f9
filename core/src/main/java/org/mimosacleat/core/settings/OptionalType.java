package org.mimosacleat.core.settings;

import io.vavr.control.Either;
import java.util.Optional;

/**
 * A value that may be empty.
 *
 * @param <T> the Java type of the value
 * @param present the type of a value that is not empty
 */
public record OptionalType<T>(ValueType<T> present) implements ValueType<Optional<T>> {
  @Override
  public Either<String, Optional<T>> parse(String text) {
    return text.isEmpty() ? Either.right(Optional.empty()) : present.parse(text).map(Optional::of);
  }

  @Override
  public String allowed() {
    return "empty or " + present.allowed();
  }

  @Override
  public boolean isSecret() {
    return present.isSecret();
  }
}
