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
 * Switches the faults of a fake of the platform's store, and counts its calls. A call that takes
 * longer than its timeout ends at the timeout; a write takes effect all the same.
 */
public final class Faults {
  private final Sleeper sleeper;
  private final AtomicReference<FaultPlan> plan = new AtomicReference<>(FaultPlan.NONE);
  private final AtomicReference<List<Runnable>> held = new AtomicReference<>(List.of());
  private final AtomicLong reads = new AtomicLong();
  private final AtomicLong writes = new AtomicLong();

  /** Starts without faults; slow calls wait on {@code sleeper}. */
  public Faults(Sleeper sleeper) {
    this.sleeper = sleeper;
  }

  /** Lets every call fail without effect, or ends that. */
  public void setDown(boolean down) {
    plan.updateAndGet(current -> current.withDown(down));
  }

  /** Lets every call take this long. */
  public void setDelay(Duration delay) {
    plan.updateAndGet(current -> current.withDelay(delay));
  }

  /** Lets the next {@code count} writes take effect and lose their answers. */
  public void loseNextAnswers(int count) {
    Checks.notNegative("answers to lose", count);
    plan.updateAndGet(current -> current.withAnswersToLose(count));
  }

  /** Lets the next {@code count} writes time out, to take effect at {@link #releaseHeld()}. */
  public void holdNextWrites(int count) {
    Checks.notNegative("writes to hold", count);
    plan.updateAndGet(current -> current.withWritesToHold(count));
  }

  /** Lets the held writes take effect, in the order of their sending. */
  public void releaseHeld() {
    held.getAndSet(List.of()).forEach(Runnable::run);
  }

  /** Ends all faults; held writes are dropped. */
  public void clear() {
    plan.set(FaultPlan.NONE);
    held.set(List.of());
  }

  /** Returns how many reads were asked, also those that failed. */
  public long reads() {
    return reads.get();
  }

  /** Returns how many writes were asked, also those that failed. */
  public long writes() {
    return writes.get();
  }

  /** Runs a read; empty if the answer does not come. */
  <T> Optional<T> read(Supplier<T> effect, Duration timeout) {
    reads.incrementAndGet();
    FaultPlan current = plan.get();
    if (current.down()) {
      return Optional.empty();
    }
    boolean inTime = passes(current, timeout);
    return inTime ? Optional.of(effect.get()) : Optional.empty();
  }

  /** Runs a write; empty if the answer does not come. */
  <T> Optional<T> write(Supplier<T> effect, Duration timeout) {
    writes.incrementAndGet();
    FaultPlan current = plan.get();
    if (current.down()) {
      return Optional.empty();
    }
    plan.updateAndGet(FaultPlan::afterWrite);
    if (current.writesToHold() > 0) {
      hold(effect::get);
      return Optional.empty();
    }
    boolean inTime = passes(current, timeout);
    T answer = effect.get();
    boolean lost = !inTime || current.answersToLose() > 0;
    return lost ? Optional.empty() : Optional.of(answer);
  }

  private void hold(Runnable effect) {
    held.updateAndGet(
        before -> {
          List<Runnable> after = new ArrayList<>(before);
          after.add(effect);
          return List.copyOf(after);
        });
  }

  private boolean passes(FaultPlan current, Duration timeout) {
    if (!current.delay().isPositive()) {
      return true;
    }
    boolean inTime = current.delay().compareTo(timeout) < 0;
    sleeper.sleep(inTime ? current.delay() : timeout);
    return inTime;
  }
}
