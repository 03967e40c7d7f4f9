package org.mimosacleat.proxy.client;

import java.security.SecureRandom;
import java.util.concurrent.ConcurrentHashMap;

/** Maps the cancel keys of client connections to the actions that cancel their batches. */
final class CancelRegistry {
  private final SecureRandom random;
  private final ConcurrentHashMap<CancelKey, Runnable> cancelActions = new ConcurrentHashMap<>();

  CancelRegistry(SecureRandom random) {
    this.random = random;
  }

  /** Registers a connection under a new random key. */
  CancelKey register(Runnable cancel) {
    while (true) {
      CancelKey key = new CancelKey(random.nextInt(), random.nextInt());
      if (cancelActions.putIfAbsent(key, cancel) == null) {
        return key;
      }
    }
  }

  void unregister(CancelKey key) {
    cancelActions.remove(key);
  }

  /** Cancels the batch that runs on the connection with this key; ignores unknown keys. */
  void cancel(CancelKey key) {
    Runnable cancel = cancelActions.get(key);
    if (cancel != null) {
      cancel.run();
    }
  }
}
