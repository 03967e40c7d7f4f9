package org.mimosacleat.proxy.command;

import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Turns SIGTERM and SIGINT into a graceful stop, and the second of them into an immediate one. A
 * shutdown hook would not see the second; the runtime's signal class does, but it is reached by
 * reflection because the compiler warns of it.
 */
final class StopSignals {
  private static final List<String> NAMES = List.of("TERM", "INT");

  private final CountDownLatch first = new CountDownLatch(1);
  private final AtomicInteger count = new AtomicInteger();

  private StopSignals() {}

  static StopSignals install() {
    StopSignals signals = new StopSignals();
    NAMES.forEach(signals::handle);
    return signals;
  }

  void awaitFirst() throws InterruptedException {
    first.await();
  }

  private void handle(String name) {
    try {
      Class<?> signalType = Class.forName("sun.misc.Signal");
      Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
      Object handler =
          Proxy.newProxyInstance(
              handlerType.getClassLoader(),
              new Class<?>[] {handlerType},
              (proxy, method, arguments) -> received());
      signalType
          .getMethod("handle", signalType, handlerType)
          .invoke(null, signalType.getConstructor(String.class).newInstance(name), handler);
    } catch (ReflectiveOperationException missing) {
      throw new IllegalStateException("this runtime has no signals", missing);
    }
  }

  private Object received() {
    if (count.incrementAndGet() > 1) {
      Runtime.getRuntime().halt(ExitCode.FAILED);
    }
    first.countDown();
    return null;
  }
}
