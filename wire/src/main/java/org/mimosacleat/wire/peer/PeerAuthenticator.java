package org.mimosacleat.wire.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.mimosacleat.core.id.VmId;

/**
 * Proves to each other that both ends of a connection hold the fleet's shared key. Both send a
 * random nonce, then a keyed hash over both nonces and names, so that recorded messages of another
 * connection prove nothing.
 */
public final class PeerAuthenticator {
  /** The shortest key that settings may give, in characters. */
  public static final int MINIMUM_KEY_CHARACTERS = 16;

  private static final String ALGORITHM = "HmacSHA256";
  private static final int NONCE_BYTES = 32;

  private final VmId self;
  private final SecretKeySpec key;
  private final SecureRandom random;

  /** Takes this proxy's name and the shared key. */
  public PeerAuthenticator(VmId self, String sharedKey, SecureRandom random) {
    if (sharedKey.length() < MINIMUM_KEY_CHARACTERS) {
      throw new IllegalArgumentException(
          "the shared key must have at least "
              + MINIMUM_KEY_CHARACTERS
              + " characters, but has "
              + sharedKey.length());
    }
    this.self = self;
    this.key = new SecretKeySpec(sharedKey.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    this.random = random;
  }

  /**
   * Runs the handshake; both ends call it.
   *
   * @return the name of the other end
   * @throws PeerProtocolException if the other end does not hold the key
   */
  public VmId authenticate(PeerChannel channel) throws IOException {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    PeerMessage.Hello mine = new PeerMessage.Hello(self, nonce);
    channel.write(mine);
    PeerMessage.Hello theirs = readHello(channel);
    if (MessageDigest.isEqual(nonce, theirs.nonce())) {
      throw new PeerProtocolException("peer handshake: the other end sent our own nonce back");
    }
    channel.write(new PeerMessage.Proof(code(mine, theirs)));
    if (!(channel.read() instanceof PeerMessage.Proof(byte[] code))) {
      throw new PeerProtocolException("peer handshake: proof expected");
    }
    if (!MessageDigest.isEqual(code, code(theirs, mine))) {
      throw new PeerProtocolException(
          "peer handshake: " + theirs.sender() + " does not hold the shared key");
    }
    channel.trustPeer();
    return theirs.sender();
  }

  private static PeerMessage.Hello readHello(PeerChannel channel) throws IOException {
    if (channel.read() instanceof PeerMessage.Hello hello && hello.nonce().length == NONCE_BYTES) {
      return hello;
    }
    throw new PeerProtocolException("peer handshake: hello expected");
  }

  private byte[] code(PeerMessage.Hello prover, PeerMessage.Hello verifier) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      mac.update(prover.sender().value().getBytes(StandardCharsets.UTF_8));
      mac.update((byte) 0);
      mac.update(prover.nonce());
      mac.update(verifier.sender().value().getBytes(StandardCharsets.UTF_8));
      mac.update((byte) 0);
      mac.update(verifier.nonce());
      return mac.doFinal();
    } catch (GeneralSecurityException missing) {
      throw new IllegalStateException(ALGORITHM + " is missing from this runtime", missing);
    }
  }
}
