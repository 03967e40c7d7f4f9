package org.mimosacleat.wire.postgres.authentication;

import com.ongres.scram.common.ScramFunctions;
import com.ongres.scram.common.ScramMechanism;
import com.ongres.scram.common.StringPreparation;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.Base64;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.mimosacleat.core.check.Checks;

/**
 * The data that a server stores in place of a password. The text form is PostgreSQL's {@code
 * SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY}, so that verifiers can be copied from an
 * endpoint. {@link #toString} omits the secrets.
 *
 * @param iterations the number of hash iterations
 * @param salt the salt
 * @param storedKey the hash of the client key
 * @param serverKey the key by which the server proves to the client that it holds the verifier
 */
@SuppressWarnings("ArrayRecordComponent")
public record ScramVerifier(int iterations, byte[] salt, byte[] storedKey, byte[] serverKey) {
  /** The number of iterations that PostgreSQL uses by default. */
  public static final int DEFAULT_ITERATIONS = 4096;

  static final ScramMechanism MECHANISM = ScramMechanism.SCRAM_SHA_256;

  private static final int KEY_BYTES = 32;
  private static final int SALT_BYTES = 16;
  private static final Pattern TEXT =
      Pattern.compile("SCRAM-SHA-256\\$(\\d{1,9}):([^$:]+)\\$([^$:]+):([^$:]+)");

  /** Checks the iterations, the salt and the key sizes. */
  public ScramVerifier {
    Checks.positive("SCRAM iterations", iterations);
    Checks.positive("bytes of the SCRAM salt", salt.length);
    checkKey("stored key", storedKey);
    checkKey("server key", serverKey);
  }

  /**
   * Parses the text form.
   *
   * @throws IllegalArgumentException if the text is malformed; the message does not include it
   */
  public static ScramVerifier parse(String text) {
    Matcher matcher = TEXT.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException(
          "SCRAM verifier must have the form SCRAM-SHA-256$4096:SALT$STORED_KEY:SERVER_KEY");
    }
    Base64.Decoder base64 = Base64.getDecoder();
    return new ScramVerifier(
        Integer.parseInt(matcher.group(1)),
        base64.decode(matcher.group(2)),
        base64.decode(matcher.group(3)),
        base64.decode(matcher.group(4)));
  }

  /** Creates the verifier of a password with a new random salt. */
  public static ScramVerifier of(char[] password, int iterations, SecureRandom random) {
    byte[] salt = ScramFunctions.salt(SALT_BYTES, random);
    byte[] salted =
        ScramFunctions.saltedPassword(
            MECHANISM, StringPreparation.POSTGRESQL_PREPARATION, password, salt, iterations);
    byte[] clientKey = ScramFunctions.clientKey(MECHANISM, salted);
    return new ScramVerifier(
        iterations,
        salt,
        ScramFunctions.storedKey(MECHANISM, clientKey),
        ScramFunctions.serverKey(MECHANISM, salted));
  }

  /**
   * Creates a verifier that no password matches, for a user that does not exist. The same user gets
   * the same salt each time, so that a client cannot find out which users exist.
   *
   * @param user the unknown user
   * @param secret a server key, the same on all servers that the client may connect to
   */
  public static ScramVerifier mock(String user, byte[] secret) {
    byte[] name = user.getBytes(StandardCharsets.UTF_8);
    byte[] seed = ScramFunctions.hmac(MECHANISM, secret, name);
    byte[] unknownKey = ScramFunctions.hmac(MECHANISM, secret, seed);
    byte[] salt = Arrays.copyOf(seed, SALT_BYTES);
    return new ScramVerifier(DEFAULT_ITERATIONS, salt, unknownKey, unknownKey);
  }

  /** Returns the text form, which contains secrets and must not be logged. */
  public String encode() {
    Base64.Encoder base64 = Base64.getEncoder();
    return MECHANISM.getName()
        + "$"
        + iterations
        + ":"
        + base64.encodeToString(salt)
        + "$"
        + base64.encodeToString(storedKey)
        + ":"
        + base64.encodeToString(serverKey);
  }

  @Override
  public String toString() {
    return "ScramVerifier[iterations=" + iterations + "]";
  }

  private static void checkKey(String label, byte[] key) {
    if (key.length != KEY_BYTES) {
      throw new IllegalArgumentException(
          "SCRAM " + label + " must have " + KEY_BYTES + " bytes, but has " + key.length);
    }
  }
}
