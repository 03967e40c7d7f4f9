package org.mimosacleat.proxy.home;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.LongAdder;
import org.mimosacleat.core.error.ErrorKind;
import org.mimosacleat.core.error.Failure;
import org.mimosacleat.core.id.EndpointId;
import org.mimosacleat.core.routing.EndpointLoads;
import org.mimosacleat.core.schedule.EstimatorSettings;
import org.mimosacleat.core.schedule.Refusal;
import org.mimosacleat.core.schedule.ServiceTimeEstimator;
import org.mimosacleat.core.schedule.SlotScheduler;
import org.mimosacleat.core.schedule.SlotSettings;
import org.mimosacleat.core.schedule.StartDecision;
import org.mimosacleat.core.schedule.Ticket;
import org.mimosacleat.core.schedule.Work;
import org.mimosacleat.proxy.concurrent.SerialExecutor;

/**
 * Assigns the slots of a group's endpoints to statements in the scheduler's order. {@link #acquire}
 * blocks until a slot is assigned; {@link #release} frees it.
 */
final class StatementSlots implements EndpointLoads {
  private static final Duration TYPICAL_RUN_TIME = Duration.ofMillis(1);

  private final SerialExecutor serial = new SerialExecutor();
  private final InstantSource clock;
  private final SlotScheduler scheduler;
  private final Map<Ticket, CompletableFuture<Either<Failure, Ticket>>> waitingByTicket =
      new HashMap<>();
  private final Map<EndpointId, LongAdder> outstandingByEndpoint = new ConcurrentHashMap<>();
  private final int slotsPerEndpoint;

  /** Creates {@code slotsPerEndpoint} slots for each endpoint. */
  StatementSlots(InstantSource clock, Set<EndpointId> endpoints, int slotsPerEndpoint) {
    this.clock = clock;
    this.slotsPerEndpoint = slotsPerEndpoint;
    this.scheduler =
        new SlotScheduler(
            SlotSettings.STANDARD, new ServiceTimeEstimator(EstimatorSettings.STANDARD), clock);
    endpoints.forEach(
        endpoint -> {
          scheduler.addEndpoint(endpoint, slotsPerEndpoint);
          outstandingByEndpoint.put(endpoint, new LongAdder());
        });
  }

  /** Waits until the statement may run; a failure means that it was refused and did not run. */
  Either<Failure, Ticket> acquire(Work work) {
    EndpointId endpoint = work.eligible().iterator().next();
    outstandingByEndpoint.get(endpoint).increment();
    CompletableFuture<Either<Failure, Ticket>> answer = new CompletableFuture<>();
    serial.execute(() -> submit(work, answer));
    Either<Failure, Ticket> started = awaitStart(answer, work.deadline());
    if (started.isLeft()) {
      outstandingByEndpoint.get(endpoint).decrement();
    }
    return started;
  }

  /** Frees the slot of a statement that has ended. */
  void release(Ticket ticket, EndpointId endpoint, boolean hasAnswer) {
    outstandingByEndpoint.get(endpoint).decrement();
    serial.execute(
        () -> {
          if (hasAnswer) {
            scheduler.finished(ticket);
          } else {
            scheduler.failed(ticket);
          }
          startNext();
        });
  }

  /** Refuses statements that can no longer start in time; call it every few milliseconds. */
  void tick() {
    serial.execute(
        () -> {
          scheduler.tick().forEach(this::refuse);
          startNext();
        });
  }

  @Override
  public Duration expectedWait(EndpointId endpoint) {
    long ahead = outstandingByEndpoint.get(endpoint).sum() - slotsPerEndpoint;
    return ahead < 0 ? Duration.ZERO : TYPICAL_RUN_TIME.multipliedBy(ahead + 1);
  }

  private void submit(Work work, CompletableFuture<Either<Failure, Ticket>> answer) {
    Either<Failure, Ticket> ticket = scheduler.submit(work);
    if (ticket.isLeft()) {
      answer.complete(Either.left(ticket.getLeft()));
      return;
    }
    waitingByTicket.put(ticket.get(), answer);
    startNext();
  }

  private void startNext() {
    Optional<StartDecision> start = scheduler.next();
    while (start.isPresent()) {
      start(start.get().ticket());
      start = scheduler.next();
    }
  }

  private void start(Ticket ticket) {
    boolean isStillAwaited = waitingByTicket.remove(ticket).complete(Either.right(ticket));
    if (!isStillAwaited) {
      // The waiting thread withdrew concurrently, so no statement runs under this ticket.
      scheduler.failed(ticket);
    }
  }

  private void refuse(Refusal refusal) {
    CompletableFuture<Either<Failure, Ticket>> answer = waitingByTicket.remove(refusal.ticket());
    if (answer != null) {
      answer.complete(Either.left(refusal.failure()));
    }
  }

  /**
   * Waits for the start of the statement. On a timeout or interrupt the statement is withdrawn
   * unless it has started, so that no slot is assigned to a statement that no thread waits for.
   */
  private Either<Failure, Ticket> awaitStart(
      CompletableFuture<Either<Failure, Ticket>> answer, Instant deadline) {
    try {
      Duration remaining = Duration.between(clock.instant(), deadline);
      return answer.get(Math.max(0, remaining.toNanos()), TimeUnit.NANOSECONDS);
    } catch (TimeoutException timeout) {
      return withdraw(answer, "no slot was free before the deadline");
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return withdraw(answer, "interrupted while waiting for a slot");
    } catch (ExecutionException failed) {
      return refused(ErrorKind.UNAVAILABLE, String.valueOf(failed.getMessage()));
    }
  }

  private Either<Failure, Ticket> withdraw(
      CompletableFuture<Either<Failure, Ticket>> answer, String reason) {
    Either<Failure, Ticket> refusal = refused(ErrorKind.DEADLINE_BEFORE_START, reason);
    if (answer.complete(refusal)) {
      serial.execute(() -> removeWithdrawn(answer));
      return refusal;
    }
    return answer.join();
  }

  private void removeWithdrawn(CompletableFuture<Either<Failure, Ticket>> answer) {
    waitingByTicket
        .entrySet()
        .removeIf(entry -> entry.getValue() == answer && scheduler.withdraw(entry.getKey()));
  }

  private static Either<Failure, Ticket> refused(ErrorKind kind, String detail) {
    return Either.left(new Failure(kind, "not run: " + detail));
  }
}
