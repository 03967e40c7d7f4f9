package org.mimosacleat.proxy.client;

import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** Runs the first task, which accepts connections, and never the ones that serve them. */
final class FirstTaskExecutor extends AbstractExecutorService {
  private final ExecutorService executor;
  private final AtomicBoolean started = new AtomicBoolean();

  FirstTaskExecutor(ExecutorService executor) {
    this.executor = executor;
  }

  @Override
  public void execute(Runnable task) {
    if (started.compareAndSet(false, true)) {
      executor.execute(task);
    }
  }

  @Override
  public void shutdown() {
    executor.shutdown();
  }

  @Override
  public List<Runnable> shutdownNow() {
    return executor.shutdownNow();
  }

  @Override
  public boolean isShutdown() {
    return executor.isShutdown();
  }

  @Override
  public boolean isTerminated() {
    return executor.isTerminated();
  }

  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) throws InterruptedException {
    return executor.awaitTermination(timeout, unit);
  }
}
