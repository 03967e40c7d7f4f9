package org.mimosacleat.store.aws;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Runs each call with its own timeout. The HTTP client has a single timeout for all calls and
 * cannot be interrupted, so each call runs on its own virtual thread, which is abandoned when the
 * call times out.
 */
final class TimeoutExecutor implements AutoCloseable {
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

  /** Returns the result of the call, or the exception that ended it. */
  <T> Either<Exception, T> call(Callable<T> call, Duration timeout) {
    Future<T> future = executor.submit(call);
    try {
      return Either.right(future.get(timeout.toNanos(), TimeUnit.NANOSECONDS));
    } catch (ExecutionException failed) {
      return Either.left(asException(failed.getCause()));
    } catch (TimeoutException late) {
      future.cancel(true);
      return Either.left(late);
    } catch (InterruptedException interrupted) {
      future.cancel(true);
      Thread.currentThread().interrupt();
      return Either.left(interrupted);
    }
  }

  private static Exception asException(Throwable cause) {
    if (cause instanceof Exception exception) {
      return exception;
    }
    throw new IllegalStateException("call to the platform failed with an error", cause);
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }
}
