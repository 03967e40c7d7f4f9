package org.mimosacleat.serving.peer;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;
import org.mimosacleat.core.admission.DemandReport;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.position.Position;
import org.mimosacleat.serving.feed.FeedPage;
import org.mimosacleat.serving.feed.FeedPublisher;
import org.mimosacleat.serving.feed.FeedSubscriber;
import org.mimosacleat.serving.limits.LimitAnswer;
import org.mimosacleat.serving.promotion.LeaseRenewal;
import org.mimosacleat.serving.promotion.ProxyRecord;
import org.mimosacleat.serving.promotion.RecordFailure;
import org.mimosacleat.serving.promotion.RecordedPrimary;
import org.mimosacleat.serving.promotion.StopResult;
import org.mimosacleat.serving.relay.RelayReply;
import org.mimosacleat.serving.relay.RelayRequest;
import org.mimosacleat.serving.renewal.RenewalCollector;
import org.mimosacleat.serving.session.RelayedStatements;
import org.mimosacleat.serving.statement.Answer;
import org.mimosacleat.serving.version.StoreVersion;
import org.mimosacleat.wire.peer.MessageTooLargeException;
import org.mimosacleat.wire.peer.PeerProtocolException;
import org.tinylog.Logger;

/** Serves one connection of another proxy. Each request runs in a separate task. */
final class PeerSession implements FeedSubscriber {
  /** More requests of one proxy at a time are rejected. */
  private static final int MAX_RUNNING = 512;

  private final PeerTransport transport;
  private final RelayedStatements statements;
  private final Function<RecordedPrimary, StopResult> stopListener;
  private final FeedPublisher publisher;
  private final Function<DemandReport, LimitAnswer> limitCoordinator;
  private final ExecutorService executor;
  private final RenewalCollector renewals;
  private final AtomicInteger running = new AtomicInteger();
  private volatile boolean leaving;

  /**
   * Creates a session that has read nothing yet.
   *
   * @param stopListener stops the use of the primary that a claim replaces
   * @param limitCoordinator answers reports of demand
   */
  PeerSession(
      PeerTransport transport,
      RelayedStatements statements,
      Function<RecordedPrimary, StopResult> stopListener,
      FeedPublisher publisher,
      Function<DemandReport, LimitAnswer> limitCoordinator,
      ExecutorService executor,
      RenewalCollector renewals) {
    this.transport = transport;
    this.statements = statements;
    this.stopListener = stopListener;
    this.publisher = publisher;
    this.limitCoordinator = limitCoordinator;
    this.executor = executor;
    this.renewals = renewals;
  }

  /** Serves requests until the connection ends. */
  void run(VmId self) throws IOException {
    transport.receiveHello();
    transport.sendHello(self);
    try {
      while (true) {
        handle(transport.receive());
      }
    } finally {
      publisher.remove(this);
    }
  }

  @Override
  public void sendPage(FeedPage page) {
    sendOrClose(new PeerFrame.Changes(page));
  }

  private void answerContact(long nonce) {
    publisher
        .contact()
        .ifPresent(
            contact ->
                sendOrClose(new PeerFrame.StoreContact(nonce, contact.age(), contact.version())));
  }

  /** Closes the connection if a frame can't be sent; the reading task then ends the session. */
  private void sendOrClose(PeerFrame frame) {
    try {
      transport.send(frame);
    } catch (IOException ended) {
      transport.close();
    }
  }

  /** Rejects new work from now on; open transactions continue. Doesn't wait for the other proxy. */
  void leave() {
    leaving = true;
    executor.execute(this::announceLeaving);
  }

  private void announceLeaving() {
    try {
      transport.send(new PeerFrame.Leaving());
    } catch (IOException ended) {
      Logger.info("could not announce the shutdown to a proxy: {}", ended.getMessage());
    }
  }

  int unfinishedWork() {
    // In this order: a COMMIT ends its transaction before it stops running.
    int transactions = statements.openTransactions();
    return transactions + running.get();
  }

  private void handle(PeerFrame frame) throws IOException {
    switch (frame) {
      case PeerFrame.Request(long correlationId, RelayRequest request) ->
          start(correlationId, request);
      case PeerFrame.StopPrimary(long correlationId, RecordedPrimary claim) ->
          executor.execute(() -> stopUsingPrimary(correlationId, claim));
      case PeerFrame.Follow(Optional<StoreVersion> known) -> publisher.add(this, known);
      case PeerFrame.AskContact(long nonce) -> answerContact(nonce);
      case PeerFrame.ReportDemand(long correlationId, DemandReport report) ->
          executor.execute(
              () ->
                  sendOrClose(
                      new PeerFrame.GrantShares(correlationId, limitCoordinator.apply(report))));
      case PeerFrame.Ping _ -> transport.send(new PeerFrame.Pong());
      case PeerFrame.RenewLease(long correlationId, ProxyRecord proxy, StoreVersion expected) ->
          renewals
              .submit(new LeaseRenewal(proxy, expected))
              .thenAcceptAsync(answer -> answerRenewal(correlationId, answer), executor);
      default -> throw new PeerProtocolException("a proxy sent a reply in place of a request");
    }
  }

  private void stopUsingPrimary(long correlationId, RecordedPrimary claim) {
    sendOrClose(
        switch (stopListener.apply(claim)) {
          case FENCED -> new PeerFrame.Stopped(correlationId, true);
          case ABANDONED -> new PeerFrame.Stopped(correlationId, false);
          case CLAIM_OUTDATED ->
              new PeerFrame.Rejected(correlationId, "a later record of the primary is known");
        });
  }

  /** An uncertain result is not answered: the proxy takes a missing answer as uncertain. */
  private void answerRenewal(long correlationId, Either<RecordFailure, StoreVersion> answer) {
    answer.peek(version -> sendOrClose(new PeerFrame.LeaseRenewed(correlationId, version)));
    answer
        .swap()
        .filter(failure -> failure != RecordFailure.UNCERTAIN)
        .peek(_ -> sendOrClose(new PeerFrame.Rejected(correlationId, "the lease is not renewed")));
  }

  private void start(long correlationId, RelayRequest request) throws IOException {
    if (leaving && !statements.isOpen(request)) {
      transport.send(new PeerFrame.Rejected(correlationId, "the proxy is shutting down"));
      return;
    }
    if (!statements.canRun(request)) {
      transport.send(
          new PeerFrame.Rejected(correlationId, "the proxy may not use the primary now"));
      return;
    }
    if (running.get() >= MAX_RUNNING) {
      transport.send(new PeerFrame.Rejected(correlationId, "the proxy is overloaded"));
      return;
    }
    running.incrementAndGet();
    Supplier<RelayReply> work = statements.register(request);
    executor.execute(() -> reply(correlationId, request, work));
  }

  private void reply(long correlationId, RelayRequest request, Supplier<RelayReply> work) {
    try {
      sendReply(correlationId, request, resultOf(request, work));
    } finally {
      running.decrementAndGet();
    }
  }

  /**
   * Runs a request; without a reply to one that fails, its client would wait until its deadline.
   */
  private static RelayReply resultOf(RelayRequest request, Supplier<RelayReply> work) {
    try {
      return work.get();
    } catch (RuntimeException | Error unexpected) {
      Logger.error(unexpected, "a relayed request failed unexpectedly");
      return failed(request, ErrorKind.INTERNAL, "unexpected failure at the gateway");
    }
  }

  private void sendReply(long correlationId, RelayRequest request, RelayReply reply) {
    try {
      transport.send(new PeerFrame.Reply(correlationId, reply));
    } catch (MessageTooLargeException tooLarge) {
      RelayReply refusal = failed(request, ErrorKind.ANSWER_TOO_LARGE, tooLarge.getMessage());
      sendOrClose(new PeerFrame.Reply(correlationId, refusal));
    } catch (IOException ended) {
      transport.close();
    }
  }

  private static RelayReply failed(RelayRequest request, ErrorKind kind, String detail) {
    Failure failure = new Failure(kind, detail);
    return new RelayReply(Answer.failed(failure, request.statusAfterFailure()), Position.NONE);
  }
}
