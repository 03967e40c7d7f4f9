package org.mimosacleat.core.settings;

import io.vavr.control.Either;
import org.mimosacleat.core.check.Checks;

/** A text that is not blank and has at most {@value Checks#MAXIMUM_NAME_LENGTH} characters. */
public record TextType() implements ValueType<String> {
  @Override
  public Either<String, String> parse(String text) {
    boolean valid = !text.isBlank() && text.length() <= Checks.MAXIMUM_NAME_LENGTH;
    return valid ? Either.right(text) : Either.left(allowed());
  }

  @Override
  public String allowed() {
    return "a non-blank text of 1 to " + Checks.MAXIMUM_NAME_LENGTH + " characters";
  }
}
