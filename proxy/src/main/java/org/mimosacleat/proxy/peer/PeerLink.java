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
import org.mimosacleat.wire.peer.PeerAuthenticator;
import org.mimosacleat.wire.peer.PeerChannel;
import org.mimosacleat.wire.peer.PeerMessage;
import org.mimosacleat.wire.peer.PeerProtocolException;
import org.mimosacleat.wire.peer.WorkAnswer;
import org.mimosacleat.wire.peer.WorkRequest;

/**
 * One connection to another proxy. Answers are matched by correlation id; when the connection is
 * lost, every batch without an answer fails with an unknown outcome.
 */
public final class PeerLink implements AutoCloseable {
  private static final Duration ANSWER_GRACE = Duration.ofMillis(500);

  private final VmId peer;
  private final Socket socket;
  private final PeerChannel channel;
  private final AtomicLong lastCorrelation = new AtomicLong();
  private final AtomicBoolean closed = new AtomicBoolean();
  private final ConcurrentHashMap<Long, CompletableFuture<Either<Failure, WorkAnswer>>> pending =
      new ConcurrentHashMap<>();

  private PeerLink(VmId peer, Socket socket, PeerChannel channel) {
    this.peer = peer;
    this.socket = socket;
    this.channel = channel;
  }

  /**
   * Connects, authenticates and starts to read on a thread of {@code executor}.
   *
   * @throws IOException if the other end is not {@code expected} or does not hold the key
   */
  static PeerLink open(PeerTarget target, PeerAuthenticator authenticator, ExecutorService executor)
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
      VmId answered = authenticator.authenticate(channel);
      if (!answered.equals(target.peer())) {
        throw new PeerProtocolException(
            "peer at " + target.address() + " is " + answered + " and not " + target.peer());
      }
      socket.setSoTimeout(0);
      PeerLink link = new PeerLink(target.peer(), socket, channel);
      executor.submit(link::readAnswers);
      return link;
    } catch (IOException | RuntimeException failed) {
      socket.close();
      throw failed;
    }
  }

  /** Returns the proxy at the other end. */
  public VmId peer() {
    return peer;
  }

  /** Tells whether the connection still stands. */
  public boolean isOpen() {
    return !closed.get();
  }

  /** Sends a batch; the answer comes with {@link SentWork#await}. */
  public SentWork send(WorkRequest request) {
    long correlation = lastCorrelation.incrementAndGet();
    CompletableFuture<Either<Failure, WorkAnswer>> answer = new CompletableFuture<>();
    pending.put(correlation, answer);
    try {
      channel.write(new PeerMessage.Work(correlation, request));
    } catch (IOException lost) {
      pending.remove(correlation);
      close();
      answer.complete(lost(lost.getMessage()));
    }
    if (closed.get()) {
      // The reader may have failed the pending batches before this one was among them.
      answer.complete(lost("closed"));
    }
    return new SentWork(this, correlation, answer);
  }

  /** Sends a message that has no answer; false if the connection is lost. */
  public boolean tell(PeerMessage message) {
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

  Either<Failure, WorkAnswer> await(
      long correlation, CompletableFuture<Either<Failure, WorkAnswer>> answer, Duration timeout) {
    try {
      return answer.get(timeout.plus(ANSWER_GRACE).toNanos(), TimeUnit.NANOSECONDS);
    } catch (TimeoutException late) {
      tell(new PeerMessage.Cancel(correlation));
      return failure(ErrorKind.DEADLINE_AFTER_START, "home " + peer + " did not answer in time");
    } catch (ExecutionException defect) {
      return failure(ErrorKind.INTERNAL, "link to " + peer + ": " + defect.getMessage());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return failure(ErrorKind.CONNECTION_LOST, "interrupted while home " + peer + " worked");
    } finally {
      pending.remove(correlation);
    }
  }

  private void readAnswers() {
    try {
      while (!closed.get()) {
        take(channel.read());
      }
    } catch (IOException lost) {
      close();
      pending.values().forEach(answer -> answer.complete(lost(lost.getMessage())));
    }
  }

  private void take(PeerMessage message) throws PeerProtocolException {
    switch (message) {
      case PeerMessage.Answered answered ->
          complete(answered.correlation(), Either.right(answered.answer()));
      case PeerMessage.Failed failed ->
          complete(failed.correlation(), Either.left(failed.failure()));
      default -> throw new PeerProtocolException("peer " + peer + " sent a request as an answer");
    }
  }

  private void complete(long correlation, Either<Failure, WorkAnswer> answer) {
    CompletableFuture<Either<Failure, WorkAnswer>> waiting = pending.remove(correlation);
    if (waiting != null) {
      waiting.complete(answer);
    }
  }

  private Either<Failure, WorkAnswer> lost(String reason) {
    return failure(
        ErrorKind.CONNECTION_LOST, "the connection to home " + peer + " was lost: " + reason);
  }

  private static Either<Failure, WorkAnswer> failure(ErrorKind kind, String detail) {
    return Either.left(new Failure(kind, detail));
  }
}
