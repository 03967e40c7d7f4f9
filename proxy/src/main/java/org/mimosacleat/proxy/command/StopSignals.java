package org.mimosacleat.proxy.command;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.mimosacleat.serving.process.Signals;

/**
 * Handles SIGTERM and SIGINT: the first signal starts a graceful stop, the second ends the process
 * immediately. A shutdown hook would not receive the second signal.
 */
final class StopSignals {
  private static final List<String> SIGNAL_NAMES = List.of("TERM", "INT");

  private final CountDownLatch firstSignal = new CountDownLatch(1);
  private final AtomicInteger count = new AtomicInteger();

  private StopSignals() {}

  static StopSignals install() {
    StopSignals signals = new StopSignals();
    SIGNAL_NAMES.forEach(name -> Signals.handle(name, signals::onSignal));
    return signals;
  }

  void awaitFirst() throws InterruptedException {
    firstSignal.await();
  }

  private void onSignal() {
    if (count.incrementAndGet() > 1) {
      Runtime.getRuntime().halt(ExitCode.FAILURE);
    }
    firstSignal.countDown();
  }
}
