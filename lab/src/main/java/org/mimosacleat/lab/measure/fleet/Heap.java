package org.mimosacleat.lab.measure.fleet;

import java.util.function.Supplier;

/** Measures the heap that an object keeps alive. */
final class Heap {
  private static final int COLLECTIONS = 4;

  private Heap() {}

  /** Returns the bytes that the made object, with all that only it refers to, takes. */
  static long bytesOf(Supplier<Object> maker) {
    maker.get();
    long before = used();
    Object made = maker.get();
    long after = used();
    java.lang.ref.Reference.reachabilityFence(made);
    return Math.max(0, after - before);
  }

  private static long used() {
    Runtime runtime = Runtime.getRuntime();
    for (int round = 0; round < COLLECTIONS; round++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
