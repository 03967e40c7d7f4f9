package org.mimosacleat.proxy.dispatch;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.GroupId;
import org.mimosacleat.core.id.VmId;
import org.mimosacleat.core.retry.Attempts;
import org.mimosacleat.core.retry.RetryDecision;
import org.mimosacleat.core.retry.RetryPolicy;
import org.mimosacleat.core.statement.StatementKind;
import org.mimosacleat.proxy.home.Homes;
import org.mimosacleat.proxy.home.RunningBatch;
import org.mimosacleat.proxy.home.TransactionOwner;
import org.mimosacleat.proxy.peer.PeerConnections;
import org.mimosacleat.wire.peer.BatchAnswer;
import org.mimosacleat.wire.peer.BatchRequest;
import org.mimosacleat.wire.peer.PeerMessage;

/**
 * Sends each batch to the home of its group and waits for the answer. If a proxy is not the home or
 * is unavailable, the batch certainly did not run and is sent to the next likely home, until its
 * deadline. After other failures the retry policy decides.
 */
public final class Dispatcher {
  private static final Duration MIN_HOME_RETRY_DELAY = Duration.ofMillis(5);
  private static final Duration MAX_HOME_RETRY_DELAY = Duration.ofMillis(40);

  private final VmId self;
  private final HomeLocator locator;
  private final Homes homes;
  private final PeerConnections connections;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final RetryPolicy retryPolicy;
  private final ConcurrentHashMap<GroupId, VmId> lastHomes = new ConcurrentHashMap<>();

  /** Creates a dispatcher to the homes on this proxy and, over {@code connections}, on others. */
  public Dispatcher(
      VmId self,
      HomeLocator locator,
      Homes homes,
      PeerConnections connections,
      InstantSource clock,
      RandomGenerator random,
      RetryPolicy retryPolicy) {
    this.self = self;
    this.locator = locator;
    this.homes = homes;
    this.connections = connections;
    this.clock = clock;
    this.random = random;
    this.retryPolicy = retryPolicy;
  }

  /** Runs a batch of an open transaction on the home that runs the transaction. */
  public Either<Failure, BatchAnswer> runInTransaction(
      BatchRequest request, VmId home, BatchExecution execution) {
    return runAt(home, request, execution);
  }

  /** Runs a batch outside an open transaction. */
  public Either<Failure, BatchAnswer> run(BatchRequest request, BatchExecution execution) {
    Instant deadline = clock.instant().plus(request.remainingTime());
    List<VmId> candidates = locator.likelyHomes(request.group());
    if (candidates.isEmpty()) {
      return failure(
          ErrorKind.UNKNOWN_GROUP, "database group '" + request.group() + "' is not known");
    }
    retryPolicy.recordRequest();
    Attempts attempts = Attempts.none(isSafeToRepeat(request), deadline);
    int homesTried = 0;
    while (true) {
      VmId home = chooseHome(request.group(), candidates, homesTried);
      Either<Failure, BatchAnswer> answer =
          runAt(home, request.withRemainingTime(remainingTime(deadline)), execution);
      if (answer.isRight()) {
        lastHomes.put(request.group(), home);
        return answer;
      }
      lastHomes.remove(request.group(), home);
      homesTried++;
      Failure failure = answer.getLeft();
      boolean retry;
      if (isHomeMissing(failure)) {
        retry = sleepBeforeRetry(homeRetryDelay(), deadline);
      } else {
        attempts = attempts.with(failure, true);
        RetryDecision decision = retryPolicy.decide(attempts, failure);
        if (decision instanceof RetryDecision.GiveUp(Failure reported)) {
          return Either.left(reported);
        }
        retry = sleepBeforeRetry(((RetryDecision.RetryAfter) decision).delay(), deadline);
      }
      if (execution.isCancelled() || !retry) {
        return Either.left(attempts.indeterminateFailure().orElse(failure));
      }
      candidates = locator.likelyHomes(request.group());
    }
  }

  /** Returns whether the work is a read, or has a request id that prevents a second execution. */
  private static boolean isSafeToRepeat(BatchRequest request) {
    boolean idempotent = request.kind() == StatementKind.READ || request.requestId().isPresent();
    return idempotent && request.retryable();
  }

  /** Rolls back an open transaction, for example after its client has disconnected. */
  public void rollBack(VmId home, GroupId group, long transaction, TransactionOwner owner) {
    if (home.equals(self)) {
      homes.rollBack(group, transaction, owner);
      return;
    }
    try {
      connections.to(home).sendOneWay(new PeerMessage.RollBackTransaction(group, transaction));
    } catch (IOException unreachable) {
      // The home rolls back by itself when it loses the connection.
      return;
    }
  }

  private VmId chooseHome(GroupId group, List<VmId> candidates, int attempt) {
    VmId last = attempt == 0 ? lastHomes.get(group) : null;
    return last != null ? last : candidates.get(attempt % candidates.size());
  }

  private Either<Failure, BatchAnswer> runAt(
      VmId home, BatchRequest request, BatchExecution execution) {
    if (home.equals(self)) {
      return execution.run(
          new DispatchedBatch.Local(homes, request, new RunningBatch(execution.owner())), home);
    }
    try {
      return execution.run(
          new DispatchedBatch.Remote(connections.to(home).send(request), request), home);
    } catch (IOException unreachable) {
      return failure(
          ErrorKind.UNAVAILABLE,
          "cannot connect to home " + home + ": " + unreachable.getMessage());
    }
  }

  private static boolean isHomeMissing(Failure failure) {
    return failure.kind() == ErrorKind.NOT_HOME || failure.kind() == ErrorKind.UNAVAILABLE;
  }

  private Duration homeRetryDelay() {
    return Duration.ofNanos(
        random.nextLong(MIN_HOME_RETRY_DELAY.toNanos(), MAX_HOME_RETRY_DELAY.toNanos()));
  }

  private boolean sleepBeforeRetry(Duration delay, Instant deadline) {
    if (clock.instant().plus(delay).isAfter(deadline)) {
      return false;
    }
    try {
      Thread.sleep(delay);
      return true;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private Duration remainingTime(Instant deadline) {
    return Duration.between(clock.instant(), deadline);
  }

  private static Either<Failure, BatchAnswer> failure(ErrorKind kind, String detail) {
    return Either.left(new Failure(kind, detail));
  }
}
