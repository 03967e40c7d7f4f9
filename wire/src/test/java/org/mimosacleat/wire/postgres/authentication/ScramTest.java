package org.mimosacleat.wire.postgres.authentication;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.security.SecureRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.wire.postgres.Frame;

class ScramTest {
  private static final int ITERATIONS = 4096;
  private static final SecureRandom RANDOM = new SecureRandom();
  private static final ScramVerifier VERIFIER =
      ScramVerifier.of("kōwhai".toCharArray(), ITERATIONS, RANDOM);

  @Test
  void correctPasswordAuthenticatesBothSides() {
    ScramServer server = new ScramServer("mere", VERIFIER, RANDOM);
    ScramClient client = new ScramClient("mere", "kōwhai".toCharArray());
    Frame proof = exchangeUntilProof(client, server);
    Frame serverProof = server.serverFinal(proof).get();
    assertTrue(client.verifyServerFinal(serverProof).isRight());
  }

  @Test
  void wrongPasswordAndUnknownUserFailIdentically() {
    Failure wrong = failureOf("wrong", VERIFIER);
    Failure unknown = failureOf("kōwhai", ScramVerifier.mock("mere", new byte[] {1, 2, 3}));
    assertEquals(ErrorKind.AUTHENTICATION_FAILED, wrong.kind());
    assertEquals(wrong, unknown);
  }

  @Test
  void unknownUserGetsTheSameSaltEachTime() {
    byte[] secret = {7, 7, 7};
    assertArrayEquals(
        ScramVerifier.mock("mere", secret).salt(), ScramVerifier.mock("mere", secret).salt());
  }

  @Test
  void proofOfAnotherExchangeIsRejected() {
    ScramServer recorded = new ScramServer("mere", VERIFIER, RANDOM);
    Frame proof = exchangeUntilProof(new ScramClient("mere", "kōwhai".toCharArray()), recorded);
    ScramServer server = new ScramServer("mere", VERIFIER, RANDOM);
    exchangeUntilProof(new ScramClient("mere", "kōwhai".toCharArray()), server);
    assertProtocolViolation(server.serverFinal(proof));
  }

  @Test
  void clientRejectsServerWithWrongServerKey() {
    ScramVerifier wrongServerKey =
        new ScramVerifier(ITERATIONS, VERIFIER.salt(), VERIFIER.storedKey(), new byte[32]);
    ScramServer server = new ScramServer("mere", wrongServerKey, RANDOM);
    ScramClient client = new ScramClient("mere", "kōwhai".toCharArray());
    Frame serverProof = server.serverFinal(exchangeUntilProof(client, server)).get();
    assertEquals(
        ErrorKind.AUTHENTICATION_FAILED, client.verifyServerFinal(serverProof).getLeft().kind());
  }

  @Test
  void placeholderUserNamesOfDriversAreAccepted() {
    for (String name : new String[] {"", "*"}) {
      ScramServer server = new ScramServer("mere", VERIFIER, RANDOM);
      assertTrue(server.serverFirst(initial("n,,n=" + name + ",r=abcdefgh")).isRight());
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "n", "n,,", "p=tls,,n=,r=abc", "n,a=other,n=,r=abc", "n,,n=x,r=,"})
  void malformedClientFirstMessageIsRejected(String message) {
    assertProtocolViolation(
        new ScramServer("mere", VERIFIER, RANDOM).serverFirst(initial(message)));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "c=biws", "c=biws,r=abc,p=!!", "c=biws,r=abc,p=AAAA"})
  void malformedClientFinalMessageIsRejected(String message) {
    ScramServer server = new ScramServer("mere", VERIFIER, RANDOM);
    server.serverFirst(initial("n,,n=,r=abcdefgh")).get();
    assertProtocolViolation(server.serverFinal(AuthenticationFrames.response(message)));
  }

  @Test
  void textFormRoundTripsAndToStringHidesSecrets() {
    ScramVerifier read = ScramVerifier.parse(VERIFIER.encode());
    assertArrayEquals(VERIFIER.storedKey(), read.storedKey());
    assertArrayEquals(VERIFIER.serverKey(), read.serverKey());
    String secret = VERIFIER.encode().substring(VERIFIER.encode().lastIndexOf(':') + 1);
    assertFalse(VERIFIER.toString().contains(secret));
    assertThrows(IllegalArgumentException.class, () -> ScramVerifier.parse("md5abc"));
  }

  private static Frame exchangeUntilProof(ScramClient client, ScramServer server) {
    Frame clientFirst = client.clientFirst(server.offer()).get();
    return client.clientFinal(server.serverFirst(clientFirst).get()).get();
  }

  private static Failure failureOf(String password, ScramVerifier verifier) {
    ScramServer server = new ScramServer("mere", verifier, RANDOM);
    ScramClient client = new ScramClient("mere", password.toCharArray());
    return server.serverFinal(exchangeUntilProof(client, server)).getLeft();
  }

  private static Frame initial(String message) {
    return AuthenticationFrames.initialResponse("SCRAM-SHA-256", message);
  }

  private static void assertProtocolViolation(Either<Failure, Frame> answer) {
    assertEquals(ErrorKind.PROTOCOL_VIOLATION, answer.getLeft().kind());
  }
}
