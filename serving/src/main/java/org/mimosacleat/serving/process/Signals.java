package org.mimosacleat.serving.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Handles signals. The runtime's signal class is reached by reflection because the compiler warns
 * of it.
 */
public final class Signals {
  private Signals() {}

  /** Runs an action for each signal of this name, like TERM. */
  public static void handle(String name, Runnable action) {
    try {
      Class<?> signalType = Class.forName("sun.misc.Signal");
      Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
      InvocationHandler run =
          (_, _, _) -> {
            action.run();
            return null;
          };
      Object handler =
          Proxy.newProxyInstance(handlerType.getClassLoader(), new Class<?>[] {handlerType}, run);
      signalType
          .getMethod("handle", signalType, handlerType)
          .invoke(null, signalType.getConstructor(String.class).newInstance(name), handler);
    } catch (ReflectiveOperationException missing) {
      throw new IllegalStateException("this runtime has no signals", missing);
    }
  }
}
