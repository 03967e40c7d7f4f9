package org.mimosacleat.serving.process;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.mimosacleat.core.time.Sleeper;
import org.tinylog.Logger;

/**
 * Repeats a step until its thread is interrupted. An unexpected exception ends only the step that
 * threw it: a background task that ended for good would leave the process with what it knew then.
 */
public final class RepeatedStep implements Runnable {
  private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(500);

  /** One step of a background task. */
  @FunctionalInterface
  public interface Step {
    /** Does one step, which may wait. */
    void run() throws InterruptedException;
  }

  /** Continues after a step that has failed. */
  @FunctionalInterface
  public interface Recovery {
    /**
     * Prepares the next step.
     *
     * @param unexpected what the step threw
     * @param first whether the step before has not failed
     */
    void recover(Throwable unexpected, boolean first);
  }

  private final Step step;
  private final Recovery recovery;
  private boolean failing;

  /**
   * Creates a task that logs the first failure in a row and pauses after each.
   *
   * @param name names the task in the log
   */
  public RepeatedStep(String name, Step step, Sleeper sleeper) {
    this(step, (unexpected, first) -> logAndPause(name, sleeper, unexpected, first));
  }

  /** Creates a task with its own way to continue after a failure. */
  public RepeatedStep(Step step, Recovery recovery) {
    this.step = step;
    this.recovery = recovery;
  }

  @Override
  public void run() {
    runWhile(() -> true);
  }

  /** Repeats the step while a condition holds, which is checked before each. */
  public void runWhile(BooleanSupplier condition) {
    while (!Thread.currentThread().isInterrupted() && condition.getAsBoolean()) {
      try {
        step.run();
        failing = false;
      } catch (InterruptedException stopped) {
        Thread.currentThread().interrupt();
      } catch (RuntimeException | Error unexpected) {
        recovery.recover(unexpected, !failing);
        failing = true;
      }
    }
  }

  private static void logAndPause(
      String name, Sleeper sleeper, Throwable unexpected, boolean first) {
    if (first) {
      Logger.error(unexpected, "a step of {} failed unexpectedly; going on", name);
    }
    sleeper.sleep(PAUSE_AFTER_FAILURE);
  }
}
