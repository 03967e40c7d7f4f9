package org.mimosacleat.core.settings;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;

/**
 * A comma-separated list of values of one type; an empty text is an empty list.
 *
 * @param <T> the Java type of an element
 * @param element the type of an element, whose text must not contain a comma
 */
public record ListType<T>(ValueType<T> element) implements ValueType<List<T>> {
  @Override
  public Either<String, List<T>> parse(String text) {
    List<T> values = new ArrayList<>();
    if (text.isEmpty()) {
      return Either.right(List.of());
    }
    for (String part : text.split(",", -1)) {
      Either<String, T> value = element.parse(part.strip());
      if (value.isLeft()) {
        return Either.left(allowed());
      }
      values.add(value.get());
    }
    return Either.right(List.copyOf(values));
  }

  @Override
  public String allowed() {
    return "a comma-separated list, each element " + element.allowed();
  }

  @Override
  public boolean isSecret() {
    return element.isSecret();
  }
}
