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
import org.mimosacleat.proxy.concurrent.SerialQueue;

/**
 * Hands out the slots of a group's endpoints in the scheduler's order. {@link #acquire} waits for a
 * slot; {@link #release} gives it back.
 */
final class StatementSlots implements EndpointLoads {
  private static final Duration TYPICAL_RUN_TIME = Duration.ofMillis(1);

  private final SerialQueue serial = new SerialQueue();
  private final InstantSource clock;
  private final SlotScheduler scheduler;
  private final Map<Ticket, CompletableFuture<Either<Failure, Ticket>>> waiting = new HashMap<>();
  private final Map<EndpointId, LongAdder> outstanding = new ConcurrentHashMap<>();
  private final int slots;

  /** Offers {@code slots} slots of each endpoint. */
  StatementSlots(InstantSource clock, Set<EndpointId> endpoints, int slots) {
    this.clock = clock;
    this.slots = slots;
    this.scheduler =
        new SlotScheduler(
            SlotSettings.STANDARD, new ServiceTimeEstimator(EstimatorSettings.STANDARD), clock);
    endpoints.forEach(
        endpoint -> {
          scheduler.addEndpoint(endpoint, slots);
          outstanding.put(endpoint, new LongAdder());
        });
  }

  /** Waits until the statement may run; on the left it was refused and did not run. */
  Either<Failure, Ticket> acquire(Work work) {
    EndpointId endpoint = work.eligible().iterator().next();
    outstanding.get(endpoint).increment();
    CompletableFuture<Either<Failure, Ticket>> answer = new CompletableFuture<>();
    serial.run(() -> submit(work, answer));
    Either<Failure, Ticket> started = join(answer, work.deadline());
    if (started.isLeft()) {
      outstanding.get(endpoint).decrement();
    }
    return started;
  }

  /** Gives back the slot of a statement that has ended. */
  void release(Ticket ticket, EndpointId endpoint, boolean hasAnswer) {
    outstanding.get(endpoint).decrement();
    serial.run(
        () -> {
          if (hasAnswer) {
            scheduler.finished(ticket);
          } else {
            scheduler.failed(ticket);
          }
          startNext();
        });
  }

  /** Refuses what can no longer start in time; to be called every few milliseconds. */
  void tick() {
    serial.run(
        () -> {
          scheduler.tick().forEach(this::refuse);
          startNext();
        });
  }

  @Override
  public Duration expectedWait(EndpointId endpoint) {
    long ahead = outstanding.get(endpoint).sum() - slots;
    return ahead < 0 ? Duration.ZERO : TYPICAL_RUN_TIME.multipliedBy(ahead + 1);
  }

  private void submit(Work work, CompletableFuture<Either<Failure, Ticket>> answer) {
    Either<Failure, Ticket> ticket = scheduler.submit(work);
    if (ticket.isLeft()) {
      answer.complete(Either.left(ticket.getLeft()));
      return;
    }
    waiting.put(ticket.get(), answer);
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
    boolean isAwaited = waiting.remove(ticket).complete(Either.right(ticket));
    if (!isAwaited) {
      // Its caller gave up a moment ago, so nothing runs under this ticket.
      scheduler.failed(ticket);
    }
  }

  private void refuse(Refusal refusal) {
    CompletableFuture<Either<Failure, Ticket>> answer = waiting.remove(refusal.ticket());
    if (answer != null) {
      answer.complete(Either.left(refusal.failure()));
    }
  }

  /** Withdraws the statement if it has not started, so that none starts without its caller. */
  private Either<Failure, Ticket> join(
      CompletableFuture<Either<Failure, Ticket>> answer, Instant deadline) {
    try {
      Duration left = Duration.between(clock.instant(), deadline);
      return answer.get(Math.max(0, left.toNanos()), TimeUnit.NANOSECONDS);
    } catch (TimeoutException late) {
      return withdraw(answer, "no slot was free before the deadline");
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      return withdraw(answer, "interrupted while it waited for a slot");
    } catch (ExecutionException defect) {
      return refused(ErrorKind.UNAVAILABLE, String.valueOf(defect.getMessage()));
    }
  }

  private Either<Failure, Ticket> withdraw(
      CompletableFuture<Either<Failure, Ticket>> answer, String reason) {
    Either<Failure, Ticket> refusal = refused(ErrorKind.DEADLINE_BEFORE_START, reason);
    if (answer.complete(refusal)) {
      serial.run(() -> dropWithdrawn(answer));
      return refusal;
    }
    return answer.join();
  }

  private void dropWithdrawn(CompletableFuture<Either<Failure, Ticket>> answer) {
    waiting
        .entrySet()
        .removeIf(entry -> entry.getValue() == answer && scheduler.withdraw(entry.getKey()));
  }

  private static Either<Failure, Ticket> refused(ErrorKind kind, String detail) {
    return Either.left(new Failure(kind, "not run: " + detail));
  }
}
