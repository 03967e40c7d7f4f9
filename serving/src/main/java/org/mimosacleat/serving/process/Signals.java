package org.mimosacleat.serving.process;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Registers handlers of operating system signals. The class {@code sun.misc.Signal} is accessed by
 * reflection because the compiler warns about direct use.
 */
public final class Signals {
  private Signals() {}

  /** Runs an action on each signal of this name, such as TERM. */
  public static void handle(String name, Runnable action) {
    try {
      Class<?> signalType = Class.forName("sun.misc.Signal");
      Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
      InvocationHandler runAction =
          (_, _, _) -> {
            action.run();
            return null;
          };
      Object handler =
          Proxy.newProxyInstance(
              handlerType.getClassLoader(), new Class<?>[] {handlerType}, runAction);
      signalType
          .getMethod("handle", signalType, handlerType)
          .invoke(null, signalType.getConstructor(String.class).newInstance(name), handler);
    } catch (ReflectiveOperationException failed) {
      throw new IllegalStateException(
          "cannot register a signal handler: sun.misc.Signal is not usable", failed);
    }
  }
}
