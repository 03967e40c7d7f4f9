package org.mimosacleat.standin.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.mimosacleat.core.check.Checks;
import org.mimosacleat.core.time.Sleeper;

/**
 * Injects faults into a fake of a platform service and counts the calls to it. A call that takes
 * longer than its timeout ends at the timeout without an answer, but a write still takes effect.
 */
public final class FaultInjector {
  private final Sleeper sleeper;
  private final AtomicReference<FaultPlan> plan = new AtomicReference<>(FaultPlan.NONE);
  private final AtomicReference<List<Runnable>> heldWrites = new AtomicReference<>(List.of());
  private final AtomicLong readCount = new AtomicLong();
  private final AtomicLong writeCount = new AtomicLong();

  /** Creates an injector without faults; delayed calls wait with {@code sleeper}. */
  public FaultInjector(Sleeper sleeper) {
    this.sleeper = sleeper;
  }

  /** Sets whether all calls fail without effect. */
  public void setDown(boolean down) {
    plan.updateAndGet(current -> current.withDown(down));
  }

  /** Sets the duration of each call. */
  public void setDelay(Duration delay) {
    plan.updateAndGet(current -> current.withDelay(delay));
  }

  /** Drops the answers of the next {@code count} writes, which still take effect. */
  public void loseNextAnswers(int count) {
    Checks.notNegative("answers to lose", count);
    plan.updateAndGet(current -> current.withAnswersToLose(count));
  }

  /**
   * Makes the next {@code count} writes time out; they take effect when {@link
   * #releaseHeldWrites()} is called.
   */
  public void holdNextWrites(int count) {
    Checks.notNegative("writes to hold", count);
    plan.updateAndGet(current -> current.withWritesToHold(count));
  }

  /** Applies the held writes in the order in which they were sent. */
  public void releaseHeldWrites() {
    heldWrites.getAndSet(List.of()).forEach(Runnable::run);
  }

  /** Removes all faults and discards the held writes. */
  public void clear() {
    plan.set(FaultPlan.NONE);
    heldWrites.set(List.of());
  }

  /** Returns the number of reads, including failed ones. */
  public long readCount() {
    return readCount.get();
  }

  /** Returns the number of writes, including failed ones. */
  public long writeCount() {
    return writeCount.get();
  }

  /** Runs a read; returns empty if it is not answered. */
  <T> Optional<T> read(Supplier<T> operation, Duration timeout) {
    readCount.incrementAndGet();
    FaultPlan current = plan.get();
    if (current.down()) {
      return Optional.empty();
    }
    boolean inTime = awaitDelay(current, timeout);
    return inTime ? Optional.of(operation.get()) : Optional.empty();
  }

  /** Runs a write; returns empty if it is not answered. */
  <T> Optional<T> write(Supplier<T> operation, Duration timeout) {
    writeCount.incrementAndGet();
    FaultPlan current = plan.get();
    if (current.down()) {
      return Optional.empty();
    }
    plan.updateAndGet(FaultPlan::afterWrite);
    if (current.writesToHold() > 0) {
      holdWrite(operation::get);
      return Optional.empty();
    }
    boolean inTime = awaitDelay(current, timeout);
    T answer = operation.get();
    boolean lost = !inTime || current.answersToLose() > 0;
    return lost ? Optional.empty() : Optional.of(answer);
  }

  private void holdWrite(Runnable operation) {
    heldWrites.updateAndGet(
        before -> {
          List<Runnable> after = new ArrayList<>(before);
          after.add(operation);
          return List.copyOf(after);
        });
  }

  /** Waits for the injected delay; returns false if the call times out first. */
  private boolean awaitDelay(FaultPlan current, Duration timeout) {
    if (!current.delay().isPositive()) {
      return true;
    }
    boolean inTime = current.delay().compareTo(timeout) < 0;
    sleeper.sleep(inTime ? current.delay() : timeout);
    return inTime;
  }
}
