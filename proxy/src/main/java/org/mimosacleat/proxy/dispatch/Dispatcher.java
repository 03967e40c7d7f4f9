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
import org.mimosacleat.proxy.home.TransactionOwner;
import org.mimosacleat.proxy.home.WorkTicket;
import org.mimosacleat.proxy.peer.PeerLinks;
import org.mimosacleat.wire.peer.PeerMessage;
import org.mimosacleat.wire.peer.WorkAnswer;
import org.mimosacleat.wire.peer.WorkRequest;

/**
 * Sends each batch to the home of its group and waits for the answer. A batch that certainly did
 * not run because its home was not there is sent to the next likely home until its deadline; after
 * other failures the retry policy decides.
 */
public final class Dispatcher {
  private static final Duration SHORTEST_PAUSE = Duration.ofMillis(5);
  private static final Duration LONGEST_PAUSE = Duration.ofMillis(40);

  private final VmId self;
  private final HomeLocator locator;
  private final Homes homes;
  private final PeerLinks links;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final RetryPolicy retries;
  private final ConcurrentHashMap<GroupId, VmId> lastHomes = new ConcurrentHashMap<>();

  /** Takes the way to the homes on this proxy and to those on others. */
  public Dispatcher(
      VmId self,
      HomeLocator locator,
      Homes homes,
      PeerLinks links,
      InstantSource clock,
      RandomGenerator random,
      RetryPolicy retries) {
    this.self = self;
    this.locator = locator;
    this.homes = homes;
    this.links = links;
    this.clock = clock;
    this.random = random;
    this.retries = retries;
  }

  /** Runs a batch of an open transaction on the home that has it. */
  public Either<Failure, WorkAnswer> runInTransaction(
      WorkRequest request, VmId home, CallerTicket ticket) {
    return runAt(home, request, ticket);
  }

  /** Runs a batch that belongs to no open transaction. */
  public Either<Failure, WorkAnswer> run(WorkRequest request, CallerTicket ticket) {
    Instant deadline = clock.instant().plus(request.timeLeft());
    List<VmId> likely = locator.likelyHomes(request.group());
    if (likely.isEmpty()) {
      return failure(
          ErrorKind.UNKNOWN_GROUP, "database group '" + request.group() + "' is not known");
    }
    retries.recordRequest();
    Attempts attempts = Attempts.none(isRepeatable(request), deadline);
    int homesTried = 0;
    while (true) {
      VmId home = choose(request.group(), likely, homesTried);
      Either<Failure, WorkAnswer> answer =
          runAt(home, request.withTimeLeft(timeLeft(deadline)), ticket);
      if (answer.isRight()) {
        lastHomes.put(request.group(), home);
        return answer;
      }
      lastHomes.remove(request.group(), home);
      homesTried++;
      Failure failure = answer.getLeft();
      boolean again;
      if (isHomeMissing(failure)) {
        again = pause(betweenHomes(), deadline);
      } else {
        attempts = attempts.with(failure, true);
        RetryDecision decision = retries.decide(attempts, failure);
        if (decision instanceof RetryDecision.GiveUp(Failure known)) {
          return Either.left(known);
        }
        again = pause(((RetryDecision.RetryAfter) decision).delay(), deadline);
      }
      if (ticket.isCancelled() || !again) {
        return Either.left(attempts.indeterminateFailure().orElse(failure));
      }
      likely = locator.likelyHomes(request.group());
    }
  }

  /** A read, or work whose request id keeps it from running twice. */
  private static boolean isRepeatable(WorkRequest request) {
    boolean idempotent = request.kind() == StatementKind.READ || request.requestId().isPresent();
    return idempotent && request.repeatable();
  }

  /** Rolls back an open transaction whose caller has left. */
  public void abandon(VmId home, GroupId group, long transaction, TransactionOwner owner) {
    if (home.equals(self)) {
      homes.abandon(group, transaction, owner);
      return;
    }
    try {
      links.to(home).tell(new PeerMessage.Abandon(group, transaction));
    } catch (IOException unreachable) {
      // The home rolls back by itself when it loses the link.
      return;
    }
  }

  private VmId choose(GroupId group, List<VmId> likely, int attempt) {
    VmId last = attempt == 0 ? lastHomes.get(group) : null;
    return last != null ? last : likely.get(attempt % likely.size());
  }

  private Either<Failure, WorkAnswer> runAt(VmId home, WorkRequest request, CallerTicket ticket) {
    if (home.equals(self)) {
      return ticket.run(
          new DispatchedWork.Local(homes, request, new WorkTicket(ticket.owner())), home);
    }
    try {
      return ticket.run(new DispatchedWork.Remote(links.to(home).send(request), request), home);
    } catch (IOException unreachable) {
      return failure(
          ErrorKind.UNAVAILABLE,
          "home " + home + " could not be reached: " + unreachable.getMessage());
    }
  }

  private static boolean isHomeMissing(Failure failure) {
    return failure.kind() == ErrorKind.NOT_HOME || failure.kind() == ErrorKind.UNAVAILABLE;
  }

  private Duration betweenHomes() {
    return Duration.ofNanos(random.nextLong(SHORTEST_PAUSE.toNanos(), LONGEST_PAUSE.toNanos()));
  }

  private boolean pause(Duration pause, Instant deadline) {
    if (clock.instant().plus(pause).isAfter(deadline)) {
      return false;
    }
    try {
      Thread.sleep(pause);
      return true;
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private Duration timeLeft(Instant deadline) {
    return Duration.between(clock.instant(), deadline);
  }

  private static Either<Failure, WorkAnswer> failure(ErrorKind kind, String detail) {
    return Either.left(new Failure(kind, detail));
  }
}
