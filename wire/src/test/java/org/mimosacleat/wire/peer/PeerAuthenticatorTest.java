package org.mimosacleat.wire.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;
import org.mimosacleat.core.id.VmId;

class PeerAuthenticatorTest {
  private static final int MAX_MESSAGE_BYTES = 1024;
  private static final String KEY = "a key shared by the fleet";

  private final PipedInputStream fromFirst = new PipedInputStream(MAX_MESSAGE_BYTES);
  private final PipedInputStream fromSecond = new PipedInputStream(MAX_MESSAGE_BYTES);
  private final PeerChannel first;
  private final PeerChannel second;

  PeerAuthenticatorTest() throws IOException {
    first = new PeerChannel(fromSecond, new PipedOutputStream(fromFirst), MAX_MESSAGE_BYTES);
    second = new PeerChannel(fromFirst, new PipedOutputStream(fromSecond), MAX_MESSAGE_BYTES);
  }

  @Test
  void eachEndLearnsTheNameOfItsPeer() {
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      CompletableFuture<VmId> atFirst = handshake(executor, "one", KEY, first);
      CompletableFuture<VmId> atSecond = handshake(executor, "two", KEY, second);

      assertEquals(new VmId("two"), atFirst.join());
      assertEquals(new VmId("one"), atSecond.join());
    }
  }

  @Test
  void wrongKeyIsRejected() {
    try (ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
      CompletableFuture<VmId> atFirst = handshake(executor, "one", KEY, first);
      CompletableFuture<VmId> atSecond =
          handshake(executor, "two", "the key of another fleet", second);

      CompletionException refusal = assertThrows(CompletionException.class, atFirst::join);
      assertInstanceOf(PeerProtocolException.class, refusal.getCause());
      assertThrows(CompletionException.class, atSecond::join);
    }
  }

  @Test
  void replayedHandshakeIsRejected() throws IOException {
    ByteArrayOutputStream recording = new ByteArrayOutputStream();
    PeerChannel recorder =
        new PeerChannel(new ByteArrayInputStream(new byte[0]), recording, MAX_MESSAGE_BYTES);
    recorder.write(new PeerMessage.Hello(new VmId("two"), new byte[32]));
    recorder.write(new PeerMessage.Proof(new byte[32]));
    PeerChannel replay =
        new PeerChannel(
            new ByteArrayInputStream(recording.toByteArray()),
            new ByteArrayOutputStream(),
            MAX_MESSAGE_BYTES);

    PeerProtocolException refusal =
        assertThrows(
            PeerProtocolException.class, () -> authenticator("one", KEY).authenticate(replay));
    assertTrue(refusal.getMessage().contains("two"));
  }

  private static CompletableFuture<VmId> handshake(
      ExecutorService executor, String name, String key, PeerChannel channel) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return authenticator(name, key).authenticate(channel);
          } catch (IOException failed) {
            throw new CompletionException(failed);
          }
        },
        executor);
  }

  private static PeerAuthenticator authenticator(String name, String key) {
    return new PeerAuthenticator(new VmId(name), key, new SecureRandom());
  }
}
