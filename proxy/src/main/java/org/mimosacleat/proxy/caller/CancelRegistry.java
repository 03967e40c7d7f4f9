package org.mimosacleat.proxy.caller;

import java.security.SecureRandom;
import java.util.concurrent.ConcurrentHashMap;

/** Finds the connection that a cancel request means. */
final class CancelRegistry {
  private final SecureRandom random;
  private final ConcurrentHashMap<CancelTarget, Runnable> targets = new ConcurrentHashMap<>();

  CancelRegistry(SecureRandom random) {
    this.random = random;
  }

  /** Gives a key to a connection. */
  CancelTarget register(Runnable cancel) {
    while (true) {
      CancelTarget target = new CancelTarget(random.nextInt(), random.nextInt());
      if (targets.putIfAbsent(target, cancel) == null) {
        return target;
      }
    }
  }

  void unregister(CancelTarget target) {
    targets.remove(target);
  }

  /** Cancels what runs on the connection with this key, if there is one. */
  void cancel(CancelTarget target) {
    Runnable cancel = targets.get(target);
    if (cancel != null) {
      cancel.run();
    }
  }
}
