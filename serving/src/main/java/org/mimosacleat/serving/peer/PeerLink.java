package org.mimosacleat.serving.peer;

import io.vavr.control.Either;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongFunction;
import org.mimosacleat.core.admission.DemandReport;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.serving.feed.FeedListener;
import org.mimosacleat.serving.feed.FeedPage;
import org.mimosacleat.serving.feed.StoreContact;
import org.mimosacleat.serving.limits.LimitAnswer;
import org.mimosacleat.serving.network.Sockets;
import org.mimosacleat.serving.promotion.LeaseRenewal;
import org.mimosacleat.serving.promotion.PrimaryRecord;
import org.mimosacleat.serving.promotion.RecordFailure;
import org.mimosacleat.serving.promotion.RecordedPrimary;
import org.mimosacleat.serving.promotion.StopRecord;
import org.mimosacleat.serving.relay.GatewayConnection;
import org.mimosacleat.serving.relay.RelayRequest;
import org.mimosacleat.serving.relay.RelayResult;
import org.mimosacleat.serving.version.StoreVersion;
import org.mimosacleat.wire.peer.PeerProtocolException;
import org.tinylog.Logger;

/**
 * The connection to a gateway. While requests wait for replies, the gateway has to show that it is
 * alive; the connection is closed if nothing arrives for a while.
 */
final class PeerLink implements GatewayConnection {
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

  /** A proxy that has just started may be slow to answer. */
  private static final Duration HELLO_TIMEOUT = Duration.ofMillis(1_500);

  /** How long nothing may arrive until the gateway is asked whether it is alive. */
  private static final Duration PING_DELAY = Duration.ofMillis(150);

  /** How long nothing may arrive until the connection is closed. */
  private static final Duration MAX_SILENCE = Duration.ofMillis(600);

  private final FleetMember peer;
  private final PeerTransport transport;
  private final ExecutorService executor;
  private final InstantSource clock;
  private final AtomicLong lastCorrelationId = new AtomicLong();
  private final Map<Long, CompletableFuture<Either<String, PeerFrame>>> pending =
      new ConcurrentHashMap<>();
  private final AtomicReference<Instant> lastFrameAt;
  private volatile boolean open = true;
  private volatile boolean leaving;
  private volatile Optional<FeedListener> feedListener = Optional.empty();

  private PeerLink(
      FleetMember peer, PeerTransport transport, ExecutorService executor, InstantSource clock) {
    this.peer = peer;
    this.transport = transport;
    this.executor = executor;
    this.clock = clock;
    this.lastFrameAt = new AtomicReference<>(clock.instant());
  }

  /**
   * Connects to a proxy and starts reading its replies.
   *
   * @throws IOException if the proxy can't be reached, or another one answers
   */
  static PeerLink connect(
      VmId self, FleetMember peer, ExecutorService executor, InstantSource clock)
      throws IOException {
    Socket socket = Sockets.connect(peer.address(), CONNECT_TIMEOUT);
    try {
      socket.setSoTimeout((int) HELLO_TIMEOUT.toMillis());
      PeerTransport transport = new PeerTransport(socket);
      transport.sendHello(self);
      VmId answered = transport.receiveHello();
      if (!answered.equals(peer.vm())) {
        throw new PeerProtocolException(
            "proxy at " + peer.address() + " is " + answered + ", expected " + peer.vm());
      }
      socket.setSoTimeout(0);
      PeerLink link = new PeerLink(peer, transport, executor, clock);
      executor.execute(link::readFrames);
      return link;
    } catch (IOException failed) {
      socket.close();
      throw failed;
    }
  }

  /** Returns whether the proxy takes new work. */
  boolean takesWork() {
    return open && !leaving;
  }

  /** Returns whether the proxy has announced that it will stop. */
  boolean isLeaving() {
    return leaving;
  }

  @Override
  public RelayResult execute(RelayRequest request, Instant deadline) {
    if (!open) {
      return new RelayResult.NotRun("the connection to proxy " + peer.vm() + " is closed");
    }
    return call(correlationId -> new PeerFrame.Request(correlationId, request), deadline)
        .fold(RelayResult.Unknown::new, this::result);
  }

  private RelayResult result(PeerFrame answer) {
    return switch (answer) {
      case PeerFrame.Reply reply -> new RelayResult.Replied(reply.reply());
      case PeerFrame.Rejected rejected -> new RelayResult.NotRun(rejected.reason());
      default -> new RelayResult.Unknown("proxy " + peer.vm() + " sent another answer");
    };
  }

  /** Asks the proxy to stop using a primary; empty if it does not confirm in time. */
  Optional<StopRecord> requestStop(RecordedPrimary claim, Instant deadline) {
    return call(correlationId -> new PeerFrame.StopPrimary(correlationId, claim), deadline)
        .toJavaOptional()
        .filter(PeerFrame.Stopped.class::isInstance)
        .map(PeerFrame.Stopped.class::cast)
        .map(stop -> stopRecord(claim, stop.fenced()));
  }

  private StopRecord stopRecord(RecordedPrimary claim, boolean fenced) {
    PrimaryRecord record = claim.record();
    return new StopRecord(record.group(), peer.vm(), claim.version().era(), record.round(), fenced);
  }

  /** Sends a report of demand; empty if it is not answered in time. */
  Optional<LimitAnswer> reportDemand(DemandReport report, Instant deadline) {
    return call(correlationId -> new PeerFrame.ReportDemand(correlationId, report), deadline)
        .toJavaOptional()
        .filter(PeerFrame.GrantShares.class::isInstance)
        .map(PeerFrame.GrantShares.class::cast)
        .map(PeerFrame.GrantShares::answer);
  }

  /** Asks the proxy to write a lease record; uncertain if it does not answer in time. */
  Either<RecordFailure, StoreVersion> requestRenewal(LeaseRenewal renewal, Instant deadline) {
    return call(id -> new PeerFrame.RenewLease(id, renewal.record(), renewal.expected()), deadline)
        .mapLeft(_ -> RecordFailure.UNCERTAIN)
        .flatMap(PeerLink::renewedVersion);
  }

  private static Either<RecordFailure, StoreVersion> renewedVersion(PeerFrame answer) {
    return switch (answer) {
      case PeerFrame.LeaseRenewed renewed -> Either.right(renewed.version());
      case PeerFrame.Rejected _ -> Either.left(RecordFailure.NOT_DONE);
      default -> Either.left(RecordFailure.UNCERTAIN);
    };
  }

  /** Sends a frame and waits for the answer; returns on the left why none arrived. */
  private Either<String, PeerFrame> call(LongFunction<PeerFrame> request, Instant deadline) {
    long correlationId = lastCorrelationId.incrementAndGet();
    CompletableFuture<Either<String, PeerFrame>> answer = new CompletableFuture<>();
    pending.put(correlationId, answer);
    try {
      transport.send(request.apply(correlationId), executor);
      return await(answer, deadline);
    } catch (IOException broken) {
      close(broken.getMessage());
      return Either.left(lost(broken.getMessage()));
    } finally {
      pending.remove(correlationId);
    }
  }

  @Override
  public void send(RelayRequest request) {
    try {
      long correlationId = lastCorrelationId.incrementAndGet();
      transport.send(new PeerFrame.Request(correlationId, request), executor);
    } catch (IOException broken) {
      close(broken.getMessage());
    }
  }

  /** Asks the proxy to pass on what it reads from the store; returns false if that fails. */
  boolean follow(FeedListener listener, Optional<StoreVersion> known) {
    feedListener = Optional.of(listener);
    try {
      transport.send(new PeerFrame.Follow(known));
      return true;
    } catch (IOException broken) {
      close(broken.getMessage());
      return false;
    }
  }

  /** Asks for the contact to the store; returns false if the proxy isn't followed on this link. */
  boolean askContact(long nonce) {
    if (feedListener.isEmpty()) {
      return false;
    }
    try {
      transport.send(new PeerFrame.AskContact(nonce));
      return true;
    } catch (IOException broken) {
      close(broken.getMessage());
      return false;
    }
  }

  void close(String reason) {
    if (open) {
      Logger.info("connection to proxy {} closed: {}", peer.vm(), reason);
    }
    open = false;
    transport.close();
    pending.values().forEach(answer -> answer.complete(Either.left(lost(reason))));
  }

  private Either<String, PeerFrame> await(
      CompletableFuture<Either<String, PeerFrame>> answer, Instant deadline) {
    Instant sentAt = clock.instant();
    while (true) {
      if (!open) {
        // The reading task may have failed all pending requests before this one was added.
        answer.complete(Either.left(lost("closed")));
      }
      Duration left = Duration.between(clock.instant(), deadline);
      Duration wait = left.compareTo(PING_DELAY) < 0 ? left : PING_DELAY;
      try {
        return answer.get(Math.max(0, wait.toNanos()), TimeUnit.NANOSECONDS);
      } catch (TimeoutException noReply) {
        if (!clock.instant().isBefore(deadline)) {
          return Either.left("proxy " + peer.vm() + " did not reply in time");
        }
        checkSilence(sentAt);
      } catch (ExecutionException failed) {
        throw new IllegalStateException("a relayed request failed unexpectedly", failed);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return Either.left("interrupted while waiting for proxy " + peer.vm());
      }
    }
  }

  private void checkSilence(Instant sentAt) {
    Instant last = lastFrameAt.get();
    Instant since = last.isAfter(sentAt) ? last : sentAt;
    Duration silence = Duration.between(since, clock.instant());
    if (silence.compareTo(MAX_SILENCE) > 0) {
      close("no frame for " + silence.toMillis() + " ms");
    } else if (silence.compareTo(PING_DELAY) >= 0) {
      executor.execute(this::ping);
    }
  }

  /** Run as a task, because it waits for a frame that the proxy does not read. */
  private void ping() {
    try {
      transport.send(new PeerFrame.Ping());
    } catch (IOException broken) {
      close(String.valueOf(broken.getMessage()));
    }
  }

  private void readFrames() {
    try {
      while (open) {
        PeerFrame frame = transport.receive();
        lastFrameAt.set(clock.instant());
        handle(frame);
      }
    } catch (IOException ended) {
      close(String.valueOf(ended.getMessage()));
    } finally {
      // After an unexpected exception nothing would read the replies that others wait for.
      close("the reading task ended");
    }
  }

  private void handle(PeerFrame frame) throws PeerProtocolException {
    switch (frame) {
      case PeerFrame.Reply reply -> complete(reply.correlationId(), reply);
      case PeerFrame.Rejected rejected -> complete(rejected.correlationId(), rejected);
      case PeerFrame.Stopped stopped -> complete(stopped.correlationId(), stopped);
      case PeerFrame.Changes(FeedPage page) ->
          feedListener.ifPresent(listener -> listener.pageReceived(page));
      case PeerFrame.StoreContact(long nonce, Duration age, StoreVersion version) ->
          feedListener.ifPresent(
              listener -> listener.contactReported(nonce, new StoreContact(age, version)));
      case PeerFrame.Leaving _ -> leaving = true;
      case PeerFrame.LeaseRenewed renewed -> complete(renewed.correlationId(), renewed);
      case PeerFrame.Pong _ -> {
        // The time of its arrival has been recorded.
      }
      case PeerFrame.GrantShares grants -> complete(grants.correlationId(), grants);
      case PeerFrame.Ping _,
          PeerFrame.Request _,
          PeerFrame.StopPrimary _,
          PeerFrame.Follow _,
          PeerFrame.AskContact _,
          PeerFrame.ReportDemand _,
          PeerFrame.RenewLease _ ->
          throw new PeerProtocolException(
              "proxy " + peer.vm() + " sent a request in place of an answer");
    }
  }

  private void complete(long correlationId, PeerFrame frame) {
    CompletableFuture<Either<String, PeerFrame>> waiting = pending.get(correlationId);
    if (waiting != null) {
      waiting.complete(Either.right(frame));
    }
  }

  private String lost(String reason) {
    return "the connection to proxy " + peer.vm() + " was lost: " + reason;
  }
}
