package org.mimosacleat.lab.measure.fleet;

import java.util.function.Supplier;

/** Measures the retained heap size of an object. */
final class Heap {
  private static final int COLLECTIONS = 4;

  private Heap() {}

  /** Returns the retained size in bytes of the object that {@code factory} creates. */
  static long bytesOf(Supplier<Object> factory) {
    factory.get();
    long before = usedBytes();
    Object object = factory.get();
    long after = usedBytes();
    java.lang.ref.Reference.reachabilityFence(object);
    return Math.max(0, after - before);
  }

  private static long usedBytes() {
    Runtime runtime = Runtime.getRuntime();
    for (int round = 0; round < COLLECTIONS; round++) {
      System.gc();
    }
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
