package org.mimosacleat.proxy.command;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.mimosacleat.serving.process.Signals;

/**
 * Turns SIGTERM and SIGINT into a graceful stop, and the second of them into an immediate one. A
 * shutdown hook would not see the second.
 */
final class StopSignals {
  private static final List<String> NAMES = List.of("TERM", "INT");

  private final CountDownLatch first = new CountDownLatch(1);
  private final AtomicInteger count = new AtomicInteger();

  private StopSignals() {}

  static StopSignals install() {
    StopSignals signals = new StopSignals();
    NAMES.forEach(name -> Signals.handle(name, signals::received));
    return signals;
  }

  void awaitFirst() throws InterruptedException {
    first.await();
  }

  private void received() {
    if (count.incrementAndGet() > 1) {
      Runtime.getRuntime().halt(ExitCode.FAILED);
    }
    first.countDown();
  }
}
