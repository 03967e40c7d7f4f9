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
 * Mutual authentication of two proxies by the fleet's shared key. Each end sends a random nonce and
 * then an HMAC over both nonces and both names. The fresh nonces prevent replay: messages recorded
 * on another connection are rejected.
 */
public final class PeerAuthenticator {
  /** The minimum length of the shared key. */
  public static final int MIN_KEY_CHARACTERS = 16;

  private static final String ALGORITHM = "HmacSHA256";
  private static final int NONCE_BYTES = 32;

  private final VmId self;
  private final SecretKeySpec key;
  private final SecureRandom random;

  /**
   * Creates an authenticator.
   *
   * @param self the VM of this proxy
   * @param sharedKey the key that all proxies of the fleet share
   * @param random the source of nonces
   */
  public PeerAuthenticator(VmId self, String sharedKey, SecureRandom random) {
    if (sharedKey.length() < MIN_KEY_CHARACTERS) {
      throw new IllegalArgumentException(
          "the shared key must have at least "
              + MIN_KEY_CHARACTERS
              + " characters, but has "
              + sharedKey.length());
    }
    this.self = self;
    this.key = new SecretKeySpec(sharedKey.getBytes(StandardCharsets.UTF_8), ALGORITHM);
    this.random = random;
  }

  /**
   * Runs the handshake, which is the same on both ends.
   *
   * @return the VM of the peer
   * @throws PeerProtocolException if the peer does not hold the key or breaks the protocol
   */
  public VmId authenticate(PeerChannel channel) throws IOException {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    PeerMessage.Hello ownHello = new PeerMessage.Hello(self, nonce);
    channel.write(ownHello);
    PeerMessage.Hello peerHello = readHello(channel);
    if (MessageDigest.isEqual(nonce, peerHello.nonce())) {
      throw new PeerProtocolException("peer handshake: the peer sent this proxy's own nonce back");
    }
    channel.write(new PeerMessage.Proof(proofCode(ownHello, peerHello)));
    if (!(channel.read() instanceof PeerMessage.Proof(byte[] code))) {
      throw new PeerProtocolException("peer handshake: expected a proof message");
    }
    if (!MessageDigest.isEqual(code, proofCode(peerHello, ownHello))) {
      throw new PeerProtocolException(
          "peer handshake: " + peerHello.sender() + " does not hold the shared key");
    }
    channel.raiseReadLimit();
    return peerHello.sender();
  }

  private static PeerMessage.Hello readHello(PeerChannel channel) throws IOException {
    if (channel.read() instanceof PeerMessage.Hello hello && hello.nonce().length == NONCE_BYTES) {
      return hello;
    }
    throw new PeerProtocolException("peer handshake: expected a hello message with a valid nonce");
  }

  private byte[] proofCode(PeerMessage.Hello prover, PeerMessage.Hello verifier) {
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
