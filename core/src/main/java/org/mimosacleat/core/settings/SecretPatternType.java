package org.mimosacleat.core.settings;

import io.vavr.control.Either;

/**
 * A secret text that matches a regular expression as a whole.
 *
 * @param expression the regular expression
 * @param form the same in words for the operator
 */
public record SecretPatternType(String expression, String form) implements ValueType<Secret> {
  @Override
  public Either<String, Secret> parse(String text) {
    return text.matches(expression) ? Either.right(new Secret(text)) : Either.left(allowed());
  }

  @Override
  public String allowed() {
    return "a text of the form " + form;
  }

  @Override
  public boolean isSecret() {
    return true;
  }
}
