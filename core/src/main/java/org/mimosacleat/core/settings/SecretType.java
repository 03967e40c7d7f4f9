package org.mimosacleat.core.settings;

import io.vavr.control.Either;

/**
 * A password or key.
 *
 * @param minimumLength the minimum length in characters
 */
public record SecretType(int minimumLength) implements ValueType<Secret> {
  @Override
  public Either<String, Secret> parse(String text) {
    return text.length() < minimumLength ? Either.left(allowed()) : Either.right(new Secret(text));
  }

  @Override
  public String allowed() {
    return "a secret of at least " + minimumLength + " characters";
  }

  @Override
  public boolean isSecret() {
    return true;
  }
}
