package org.mimosacleat.proxy.peer;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.wire.peer.BatchAnswer;
import org.mimosacleat.wire.peer.BatchRequest;
import org.mimosacleat.wire.peer.PeerAuthenticator;
import org.mimosacleat.wire.peer.PeerChannel;
import org.mimosacleat.wire.peer.PeerMessage;
import org.mimosacleat.wire.peer.PeerProtocolException;

/**
 * A connection to another proxy. Answers are matched to batches by correlation id. When the
 * connection is lost, all unanswered batches fail with an unknown outcome.
 */
public final class PeerConnection implements AutoCloseable {
  private static final Duration ANSWER_GRACE_PERIOD = Duration.ofMillis(500);

  private final VmId peer;
  private final Socket socket;
  private final PeerChannel channel;
  private final AtomicLong lastCorrelationId = new AtomicLong();
  private final AtomicBoolean closed = new AtomicBoolean();
  private final ConcurrentHashMap<Long, CompletableFuture<Either<Failure, BatchAnswer>>> pending =
      new ConcurrentHashMap<>();

  private PeerConnection(VmId peer, Socket socket, PeerChannel channel) {
    this.peer = peer;
    this.socket = socket;
    this.channel = channel;
  }

  /**
   * Connects, authenticates and starts reading answers on a thread of {@code executor}.
   *
   * @throws IOException if the connection fails, or the other end is not the target peer or does
   *     not hold the key
   */
  static PeerConnection open(
      PeerTarget target, PeerAuthenticator authenticator, ExecutorService executor)
      throws IOException {
    Socket socket = new Socket();
    try {
      int timeout = Math.toIntExact(target.connectTimeout().toMillis());
      socket.setTcpNoDelay(true);
      socket.connect(target.address(), timeout);
      socket.setSoTimeout(timeout);
      PeerChannel channel =
          new PeerChannel(
              socket.getInputStream(), socket.getOutputStream(), target.maximumMessageBytes());
      VmId authenticated = authenticator.authenticate(channel);
      if (!authenticated.equals(target.peer())) {
        throw new PeerProtocolException(
            "peer at " + target.address() + " is " + authenticated + ", expected " + target.peer());
      }
      socket.setSoTimeout(0);
      PeerConnection connection = new PeerConnection(target.peer(), socket, channel);
      executor.submit(connection::readAnswers);
      return connection;
    } catch (IOException | RuntimeException failed) {
      socket.close();
      throw failed;
    }
  }

  /** Returns the proxy at the other end. */
  public VmId peer() {
    return peer;
  }

  /** Returns whether the connection is open. */
  public boolean isOpen() {
    return !closed.get();
  }

  /** Sends a batch; use {@link SentBatch#await} to wait for the answer. */
  public SentBatch send(BatchRequest request) {
    long correlationId = lastCorrelationId.incrementAndGet();
    CompletableFuture<Either<Failure, BatchAnswer>> answer = new CompletableFuture<>();
    pending.put(correlationId, answer);
    try {
      channel.write(new PeerMessage.ExecuteBatch(correlationId, request));
    } catch (IOException lost) {
      pending.remove(correlationId);
      close();
      answer.complete(lost(lost.getMessage()));
    }
    if (closed.get()) {
      // The reader thread may have failed all pending batches before this one was added.
      answer.complete(lost("connection closed"));
    }
    return new SentBatch(this, correlationId, answer);
  }

  /** Sends a message that has no answer; returns false if the connection is lost. */
  public boolean sendOneWay(PeerMessage message) {
    try {
      channel.write(message);
      return true;
    } catch (IOException lost) {
      close();
      return false;
    }
  }

  @Override
  public void close() {
    closed.set(true);
    try {
      socket.close();
    } catch (IOException alreadyBroken) {
      return;
    }
  }

  Either<Failure, BatchAnswer> await(
      long correlationId,
      CompletableFuture<Either<Failure, BatchAnswer>> answer,
      Duration timeout) {
    try {
      return answer.get(timeout.plus(ANSWER_GRACE_PERIOD).toNanos(), TimeUnit.NANOSECONDS);
    } catch (TimeoutException late) {
      sendOneWay(new PeerMessage.CancelBatch(correlationId));
      return failure(
          ErrorKind.DEADLINE_AFTER_START, "home " + peer + " did not answer before the deadline");
    } catch (ExecutionException defect) {
      return failure(
          ErrorKind.INTERNAL,
          "connection to " + peer + ": unexpected error: " + defect.getMessage());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return failure(
          ErrorKind.CONNECTION_LOST, "interrupted while waiting for the answer of home " + peer);
    } finally {
      pending.remove(correlationId);
    }
  }

  private void readAnswers() {
    try {
      while (!closed.get()) {
        handle(channel.read());
      }
    } catch (IOException lost) {
      close();
      pending.values().forEach(answer -> answer.complete(lost(lost.getMessage())));
    }
  }

  private void handle(PeerMessage message) throws PeerProtocolException {
    switch (message) {
      case PeerMessage.BatchCompleted completed ->
          complete(completed.correlationId(), Either.right(completed.answer()));
      case PeerMessage.BatchFailed failed ->
          complete(failed.correlationId(), Either.left(failed.failure()));
      default ->
          throw new PeerProtocolException(
              "peer " + peer + " sent a request where an answer was expected");
    }
  }

  private void complete(long correlationId, Either<Failure, BatchAnswer> answer) {
    CompletableFuture<Either<Failure, BatchAnswer>> waiting = pending.remove(correlationId);
    if (waiting != null) {
      waiting.complete(answer);
    }
  }

  private Either<Failure, BatchAnswer> lost(String reason) {
    return failure(
        ErrorKind.CONNECTION_LOST, "the connection to home " + peer + " was lost: " + reason);
  }

  private static Either<Failure, BatchAnswer> failure(ErrorKind kind, String detail) {
    return Either.left(new Failure(kind, detail));
  }
}
