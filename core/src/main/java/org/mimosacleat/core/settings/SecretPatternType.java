package org.mimosacleat.core.settings;

import io.vavr.control.Either;

/**
 * A secret whose entire text matches a regular expression.
 *
 * @param expression the regular expression
 * @param form a description of the expected form for the operator
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
